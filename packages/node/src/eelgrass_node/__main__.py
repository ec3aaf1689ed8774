"""The entry point of ``eelgrassd``; it imports little until it runs."""

import sys

__all__ = ["main"]


def main() -> None:
    """Run the node and exit with its code."""
    from .cli import run

    sys.exit(run())


if __name__ == "__main__":
    main()
