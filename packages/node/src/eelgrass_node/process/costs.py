"""Cost by stage, added up per client account and pipeline."""

import msgspec

from eelgrass_coordination.ids import AccountName

from ..request.model import CallerRequest, StageCost

__all__ = ["CostKey", "CostLedger", "CostRow"]


class CostKey(msgspec.Struct, frozen=True):
    """Whose cost it is."""

    account: AccountName
    pipeline: str
    stage: str


class CostRow(msgspec.Struct):
    """Sums for one key: milliseconds of back-end time, tokens and counts.

    ``unreported`` counts attempts whose cost no back end could tell.
    """

    account: AccountName
    pipeline: str
    stage: str
    requests: int = 0
    attempts: int = 0
    useful_ms: float = 0.0
    wasted_ms: float = 0.0
    tokens: int = 0
    unreported: int = 0


class CostLedger:
    """The costs of the requests that this process has served."""

    def __init__(self) -> None:
        self._by_key: dict[CostKey, CostRow] = {}

    def note(self, request: CallerRequest, cost: StageCost) -> None:
        """Add the cost of one stage of one request."""
        key = CostKey(request.account, request.pipeline.name, cost.stage)
        row = self._by_key.get(key)
        if row is None:
            row = CostRow(key.account, key.pipeline, key.stage)
            self._by_key[key] = row
        row.requests += 1
        row.attempts += cost.attempts
        row.useful_ms += cost.useful_ms
        row.wasted_ms += cost.wasted_ms
        row.tokens += cost.tokens
        row.unreported += cost.unreported

    def rows(self) -> list[CostRow]:
        """Return the rows, sorted by account, pipeline and stage."""
        return sorted(
            self._by_key.values(),
            key=lambda row: (row.account, row.pipeline, row.stage),
        )
