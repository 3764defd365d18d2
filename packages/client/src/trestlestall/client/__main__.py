"""The entry point of ``trestlestall``."""

import os
import sys

from trestlestall.client import cli
from trestlestall.daemon import environment


def run() -> None:
    """Run the command line of this process and exit with its status."""
    try:
        status = cli.main(sys.argv[1:], environment.read_environment())
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, such as head, has closed the pipe and wants no more output.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = 0
    sys.exit(status)


if __name__ == "__main__":
    run()
