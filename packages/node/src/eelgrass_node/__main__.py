"""The entry point of ``eelgrassd``; the command line is imported when it runs."""

import sys

__all__ = ["main"]


def main() -> None:
    """Run the node and exit with its code."""
    from .cli import run

    sys.exit(run())


if __name__ == "__main__":
    main()
