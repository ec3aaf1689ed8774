"""Exceptions and exit codes of ``eelgrassctl``."""

from enum import IntEnum

__all__ = [
    "AddressesUnreadable",
    "ChangeFileError",
    "CommandError",
    "ExitCode",
    "LogUnreadable",
    "NoNode",
    "NodeRefused",
    "StoreUnreadable",
]


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    DONE = 0
    REFUSED = 1
    WRONG_INPUT = 2
    NO_NODE = 3
    UNKNOWN = 4
    NOT_EVERYWHERE = 5


class CommandError(Exception):
    """Base of all errors that terminate a command with exit code ``code``."""

    code = ExitCode.WRONG_INPUT


class NoNode(CommandError):
    """No node answered."""

    code = ExitCode.NO_NODE

    def __init__(self, nodes: list[str], reason: str) -> None:
        super().__init__(
            f"No node answered at {', '.join(nodes)} ({reason}). Give the internal "
            "address of a running node with --node or EELGRASS_NODES."
        )


class NodeRefused(CommandError):
    """A node refused the call."""

    code = ExitCode.REFUSED

    def __init__(self, reason: str) -> None:
        super().__init__(f"The node refused the call: {reason}")


class ChangeFileError(CommandError):
    """A change file is invalid."""

    def __init__(self, file: str, reason: str) -> None:
        super().__init__(
            f"{file}: {reason}. Correct the file; 'eelgrassctl show' prints objects "
            "in the required format."
        )


class AddressesUnreadable(CommandError):
    """A file with metrics addresses cannot be read."""

    def __init__(self, file: str, reason: str) -> None:
        super().__init__(
            f"{file}: {reason}. Give the path of a text file with one IP address and "
            "metrics port per line."
        )


class LogUnreadable(CommandError):
    """A log file cannot be read."""

    def __init__(self, file: str, reason: str) -> None:
        super().__init__(f"{file}: {reason}. Give the path of a readable log file.")


class StoreUnreadable(CommandError):
    """The platform's store gave no valid response."""

    code = ExitCode.NO_NODE

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(
            f"The store at {address} cannot be read ({reason}). Give the IP address "
            "and port that the nodes' settings name, or leave --store out."
        )
