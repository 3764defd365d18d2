"""The entry point of ``trestlestalld``."""

# Imported first: a reload signal must not end the process while it loads the others.
from trestlestall.daemon import startup  # isort: skip

# Imported next: it patches sockets and locks before other modules load them.
from trestlestall.daemon import patching  # isort: skip

import sys

from trestlestall.daemon import cli, environment

__all__ = ["patching", "run", "startup"]


def run() -> None:
    """Run the command line of this process and exit with the status of the command."""
    sys.exit(cli.main(sys.argv[1:], environment.read_environment()))


if __name__ == "__main__":
    run()
