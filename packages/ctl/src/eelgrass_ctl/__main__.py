"""Entry point of ``eelgrassctl``; imports the commands only when it runs."""

import sys

__all__ = ["main"]


def main() -> None:
    """Run the command and exit with its code."""
    from .cli import run

    sys.exit(run())


if __name__ == "__main__":
    main()
