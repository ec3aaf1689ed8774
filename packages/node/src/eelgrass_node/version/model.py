"""The objects of a configuration: templates, client accounts, parameter sets."""

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
    """The kinds of configuration objects, as changes name them."""

    TEMPLATE = "templates"
    ACCOUNT = "accounts"
    PARAMETERS = "parameters"


class StageKind(Enum):
    """What a stage does, and so which interface of a back end it uses."""

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
    ``model``, ``adapter`` and ``operation`` may name a parameter, as ``$model``.
    A stage that is not idempotent is run once at most.
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
    """A pipeline template. ``deadline_ms`` is the default and upper bound.

    A larger ``priority`` goes first.
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
    """What one client account fills into one template.

    ``template_incarnation`` is the revision that created the template it was
    written for; 0 only where the same change creates the template.
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
