"""Configuration objects: templates, client accounts and parameter sets."""

from enum import Enum
from typing import Any

import msgspec

from eelgrass_coordination.ids import AccountName, Revision

__all__ = [
    "ClientAccount",
    "Kind",
    "ParameterSet",
    "ParameterSpec",
    "ParameterType",
    "Pipeline",
    "Stage",
    "StageKind",
    "Template",
    "parameter_set_name",
]


class Kind(Enum):
    """Kinds of configuration objects, with their names in changes."""

    TEMPLATE = "templates"
    ACCOUNT = "accounts"
    PARAMETERS = "parameters"


class StageKind(Enum):
    """What a stage does; this determines which backend interface it calls."""

    ENCODE = "encode"
    RETRIEVE = "retrieve"
    RERANK = "rerank"
    GENERATE = "generate"
    CALL = "call"


class ParameterType(Enum):
    """The type of a template parameter."""

    STRING = "string"
    INTEGER = "integer"
    NUMBER = "number"
    BOOLEAN = "boolean"


class ParameterSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A parameter that a template declares."""

    type: ParameterType
    required: bool = True
    default: Any = None


class Stage(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """One stage of a template.

    ``service`` names the pool, engine group or plain service that runs it.
    ``model``, ``adapter``, ``operation`` and ``max_tokens`` may refer to a parameter,
    as in ``$model``. A stage that is not idempotent runs at most once.
    """

    name: str
    kind: StageKind
    service: str
    idempotent: bool = True
    operation: str = ""
    model: str = ""
    adapter: str = ""
    max_tokens: int | str = 64


class Template(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A pipeline template.

    ``deadline_ms`` is both the default and the maximum deadline of its requests.
    Requests with a larger ``priority`` go first.
    """

    stages: tuple[Stage, ...]
    deadline_ms: int
    priority: int = 0
    parameters: dict[str, ParameterSpec] = {}
    key_required: bool = False


class ClientAccount(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A client account; ``key_sha256`` is the hex digest of its bearer key."""

    key_sha256: str
    title: str = ""


class ParameterSet(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """The parameter values of one client account for one template.

    ``template_incarnation`` is the revision that created the template for which the
    set was written; 0 is valid only if the same change creates the template.
    """

    account: AccountName
    template: str
    values: dict[str, Any] = {}
    deadline_ms: int | None = None
    priority: int | None = None
    template_incarnation: Revision = Revision(0)


class Pipeline(msgspec.Struct, frozen=True):
    """A template with one account's parameters filled in."""

    name: str
    account: AccountName
    key_sha256: str
    stages: tuple[Stage, ...]
    deadline_ms: int
    priority: int
    key_required: bool

    @property
    def idempotent(self) -> bool:
        """Whether all stages may be repeated."""
        return all(stage.idempotent for stage in self.stages)


def parameter_set_name(account: str, template: str) -> str:
    """Return the object name of a parameter set."""
    return f"{account}/{template}"
