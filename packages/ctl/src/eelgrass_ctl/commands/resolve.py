"""``eelgrassctl resolve``: close a keyed request of unknown outcome."""

from ..client import call, target_of
from ..exceptions import ExitCode
from ..output import print_json

__all__ = ["resolve"]


def resolve(
    account: str,
    key: str,
    note: str,
    *,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
) -> int:
    """Close a claim whose outcome you have found out; it never runs again.

    :param account: the client account
    :param key: the idempotency key
    :param note: your finding; callers that repeat the request receive it
    :param node: internal address of a node, several to try in turn
    :param json: print JSON for scripts
    """
    message = {"account": account, "key": key, "note": note}
    answer = call(target_of(node), "claims/resolve", message)
    if json:
        print_json(answer)
    elif answer["resolved"]:
        print(f"The claim {account}/{key} is closed.")
    else:
        print(f"There is no open claim {account}/{key}; list them with 'claims'.")
    return ExitCode.DONE if answer["resolved"] else ExitCode.REFUSED
