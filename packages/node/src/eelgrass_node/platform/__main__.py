"""The entry point of a node on the users' platform."""

import signal
import sys

__all__ = ["main"]


def main() -> None:
    """Run the node and exit with its code.

    A word that the settings have changed must not end a process whose libraries
    are still loading, as it does by default.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .cli import run

    sys.exit(run())


if __name__ == "__main__":
    main()
