"""The entry point of ``python -m eelgrass_standins``."""

from .cli import run

if __name__ == "__main__":
    run()
