"""Sums the cost of stages per client account and pipeline."""

import msgspec

from eelgrass_coordination.ids import AccountName

from ..request.model import CallerRequest, StageCost

__all__ = ["CostKey", "CostLedger", "CostRow", "add_up"]


class CostKey(msgspec.Struct, frozen=True):
    """The client account, pipeline and stage that a cost is attributed to."""

    account: AccountName
    pipeline: str
    stage: str


class CostRow(msgspec.Struct):
    """Sums for one key: milliseconds of backend time, tokens and counts.

    ``unreported`` counts attempts whose cost no backend server reported.
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

    def key(self) -> CostKey:
        """Return the key that these costs are attributed to."""
        return CostKey(self.account, self.pipeline, self.stage)

    def order(self) -> tuple[str, str, str]:
        """Return the key by which reports are sorted."""
        return (self.account, self.pipeline, self.stage)


def add_up(by_key: dict[CostKey, CostRow], rows: list[CostRow]) -> None:
    """Add ``rows`` to the sums in ``by_key``."""
    for row in rows:
        total = by_key.setdefault(
            row.key(), CostRow(row.account, row.pipeline, row.stage)
        )
        total.requests += row.requests
        total.attempts += row.attempts
        total.useful_ms += row.useful_ms
        total.wasted_ms += row.wasted_ms
        total.tokens += row.tokens
        total.unreported += row.unreported


class CostLedger:
    """The costs of the requests that this process has served."""

    def __init__(self) -> None:
        self._by_key: dict[CostKey, CostRow] = {}

    def record(self, request: CallerRequest, cost: StageCost) -> None:
        """Add the cost of one stage of one request."""
        self._add(request, cost, requests=1)

    def correct(self, request: CallerRequest, cost: StageCost) -> None:
        """Add a late correction to a stage whose cost was recorded before."""
        self._add(request, cost, requests=0)

    def _add(self, request: CallerRequest, cost: StageCost, requests: int) -> None:
        row = CostRow(
            account=request.account,
            pipeline=request.pipeline.name,
            stage=cost.stage,
            requests=requests,
            attempts=cost.attempts,
            useful_ms=cost.useful_ms,
            wasted_ms=cost.wasted_ms,
            tokens=cost.tokens,
            unreported=cost.unreported,
        )
        add_up(self._by_key, [row])

    def rows(self) -> list[CostRow]:
        """Return the rows, sorted by account, pipeline and stage."""
        return sorted(self._by_key.values(), key=CostRow.order)
