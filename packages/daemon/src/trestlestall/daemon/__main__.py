"""The entry point of ``trestlestalld``."""

# First of all imports: it replaces sockets and locks before others load them.
from trestlestall.daemon import patching  # isort: skip

import sys

from trestlestall.daemon import cli, environment

__all__ = ["patching", "run"]


def run() -> None:
    """Run the command line of this process and exit with its status."""
    sys.exit(cli.main(sys.argv[1:], environment.read_environment()))


if __name__ == "__main__":
    run()
