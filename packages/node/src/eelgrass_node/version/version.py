"""One configuration revision, decoded as requests need it."""

import msgspec

from eelgrass_coordination import Snapshot, decode_json
from eelgrass_coordination.ids import AccountName, Revision

from .check import resolve_reference
from .model import (
    ClientAccount,
    Kind,
    ParameterSet,
    Pipeline,
    Stage,
    Template,
    parameter_set_name,
)

__all__ = ["Version"]

MAX_CACHED = 2048


class Version:
    """A configuration snapshot, with a cache of its decoded pipelines.

    A request uses one version from start to end, even if newer changes are accepted
    meanwhile.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self._templates_by_name: dict[str, Template] = {}
        self._pipelines_by_name: dict[str, Pipeline] = {}

    @property
    def revision(self) -> Revision:
        """The revision of this version."""
        return self.snapshot.revision

    def has_template(self, name: str) -> bool:
        """Return whether a template of this name exists, for any account."""
        return self.snapshot.get(Kind.TEMPLATE.value, name) is not None

    def account(self, name: str) -> ClientAccount | None:
        """Return a client account, or None."""
        entry = self.snapshot.get(Kind.ACCOUNT.value, name)
        if entry is None:
            return None
        return decode_json(entry.value, ClientAccount)

    def pipeline(self, account: AccountName, template: str) -> Pipeline | None:
        """Return the pipeline of ``template`` for ``account``, or None."""
        name = parameter_set_name(account, template)
        found = self._pipelines_by_name.get(name)
        if found is not None:
            return found
        entry = self.snapshot.get(Kind.PARAMETERS.value, name)
        client_account = self.account(account)
        if entry is None or client_account is None:
            return None
        parameters = decode_json(entry.value, ParameterSet)
        pipeline = self._build(parameters, client_account)
        if len(self._pipelines_by_name) >= MAX_CACHED:
            self._pipelines_by_name.clear()
        self._pipelines_by_name[name] = pipeline
        return pipeline

    def _build(self, parameters: ParameterSet, account: ClientAccount) -> Pipeline:
        template = self._template(parameters.template)
        priority = parameters.priority
        return Pipeline(
            name=parameters.template,
            account=parameters.account,
            key_sha256=account.key_sha256,
            stages=tuple(
                _resolve_stage(stage, template, parameters) for stage in template.stages
            ),
            deadline_ms=parameters.deadline_ms or template.deadline_ms,
            priority=template.priority if priority is None else priority,
            key_required=template.key_required,
        )

    def _template(self, name: str) -> Template:
        found = self._templates_by_name.get(name)
        if found is None:
            entry = self.snapshot.by_kind[Kind.TEMPLATE.value][name]
            found = decode_json(entry.value, Template)
            self._templates_by_name[name] = found
        return found


def _resolve_stage(stage: Stage, template: Template, parameters: ParameterSet) -> Stage:
    return msgspec.structs.replace(
        stage,
        model=resolve_reference(stage.model, template, parameters),
        adapter=resolve_reference(stage.adapter, template, parameters) or "",
        operation=resolve_reference(stage.operation, template, parameters),
        max_tokens=resolve_reference(stage.max_tokens, template, parameters),
    )
