"""Validates a configuration change by the complete configuration that results.

Checks a changed template against every parameter set that uses it, and a parameter
set against its template and account, so that any accepted configuration can be served.
"""

import re
from collections.abc import Iterator
from typing import Any

import msgspec

from eelgrass_coordination import Entry, Problem, Snapshot, decode_json

from .model import (
    ClientAccount,
    Kind,
    ParameterSet,
    ParameterSpec,
    ParameterType,
    StageKind,
    Template,
    parameter_set_name,
)

__all__ = ["validate_snapshot", "resolve_reference"]

MAX_STAGES = 16
MAX_DEADLINE_MS = 600_000
MAX_TOKENS = 8192
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
PYTHON_TYPES = {
    ParameterType.STRING: (str,),
    ParameterType.INTEGER: (int,),
    ParameterType.NUMBER: (int, float),
    ParameterType.BOOLEAN: (bool,),
}
MODEL_TYPES = {
    Kind.TEMPLATE.value: Template,
    Kind.ACCOUNT.value: ClientAccount,
    Kind.PARAMETERS.value: ParameterSet,
}


def validate_snapshot(before: Snapshot, after: Snapshot) -> list[Problem]:
    """Return the problems of ``after``; ``before`` must have none."""
    return list(_problems(before, after))


def _problems(before: Snapshot, after: Snapshot) -> Iterator[Problem]:
    changed = _changed_objects(before, after)
    decoded: dict[tuple[str, str], Any] = {}
    for kind, name in changed:
        entry = after.get(kind, name)
        if kind not in MODEL_TYPES:
            yield Problem(kind, "no such kind", f"use one of {sorted(MODEL_TYPES)}")
        elif entry is not None:
            value = _decode(kind, name, entry)
            if isinstance(value, Problem):
                yield value
            else:
                decoded[kind, name] = value
    for (kind, name), value in decoded.items():
        yield from _object_problems(kind, name, value)
    yield from _reference_problems(after, changed, decoded)


def _changed_objects(before: Snapshot, after: Snapshot) -> list[tuple[str, str]]:
    found = []
    for kind in after.by_kind.keys() | before.by_kind.keys():
        old = before.by_kind.get(kind, {})
        new = after.by_kind.get(kind, {})
        if old is new:
            continue
        names = (n for n in old.keys() | new.keys() if old.get(n) is not new.get(n))
        found += [(kind, name) for name in names]
    return sorted(found)


def _decode(kind: str, name: str, entry: Entry) -> Any:
    try:
        return decode_json(entry.value, MODEL_TYPES[kind])
    except msgspec.MsgspecError as error:
        return Problem(f"{kind}/{name}", str(error), "correct the named field")


def _object_problems(kind: str, name: str, value: Any) -> Iterator[Problem]:
    field = f"{kind}/{name}"
    parts = name.split("/") if kind == Kind.PARAMETERS.value else [name]
    if not all(NAME_PATTERN.fullmatch(part) for part in parts):
        remedy = "use 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"
        yield Problem(field, "the name is not valid", remedy)
    if isinstance(value, Template):
        yield from _template_problems(field, value)
    elif isinstance(value, ClientAccount):
        if not DIGEST_PATTERN.fullmatch(value.key_sha256):
            remedy = "give the 64 hex digits of the key's SHA-256"
            yield Problem(f"{field}.key_sha256", "it is not a SHA-256 digest", remedy)
    elif name != parameter_set_name(value.account, value.template):
        remedy = f"name it {parameter_set_name(value.account, value.template)}"
        yield Problem(field, "the name does not match account and template", remedy)


def _template_problems(field: str, template: Template) -> Iterator[Problem]:
    if not 1 <= len(template.stages) <= MAX_STAGES:
        remedy = f"give 1 to {MAX_STAGES} stages"
        yield Problem(f"{field}.stages", "wrong number of stages", remedy)
    if not 1 <= template.deadline_ms <= MAX_DEADLINE_MS:
        remedy = f"give 1 to {MAX_DEADLINE_MS} milliseconds"
        yield Problem(f"{field}.deadline_ms", "out of range", remedy)
    names = [stage.name for stage in template.stages]
    if len(set(names)) < len(names):
        remedy = "give each stage a unique name"
        yield Problem(f"{field}.stages", "several stages have the same name", remedy)
    for stage in template.stages:
        field_path = f"{field}.stages.{stage.name}"
        if not NAME_PATTERN.fullmatch(stage.service):
            yield Problem(f"{field_path}.service", "not a valid name", "name a service")
        if stage.kind is StageKind.GENERATE and not stage.model:
            yield Problem(f"{field_path}.model", "it is missing", "name a model")
        if stage.kind is StageKind.CALL and not stage.operation:
            yield Problem(
                f"{field_path}.operation", "it is missing", "name an operation"
            )
        for text in (stage.model, stage.adapter, stage.operation, stage.max_tokens):
            yield from _reference_problem(field_path, text, template)
    for name, spec in template.parameters.items():
        if not spec.required and not _has_type(spec, spec.default):
            field_path = f"{field}.parameters.{name}.default"
            yield Problem(
                field_path,
                f"it is not of type {spec.type.value}",
                "give a default of that type",
            )


def _reference_problem(
    field_path: str, text: int | str, template: Template
) -> Iterator[Problem]:
    if isinstance(text, int):
        if not 1 <= text <= MAX_TOKENS:
            remedy = f"give 1 to {MAX_TOKENS}"
            yield Problem(f"{field_path}.max_tokens", "out of range", remedy)
        return
    if text.startswith("$") and text[1:] not in template.parameters:
        remedy = "declare it under parameters"
        yield Problem(field_path, f"parameter {text[1:]!r} is not declared", remedy)


def _has_type(spec: ParameterSpec, value: Any) -> bool:
    if isinstance(value, bool) and spec.type is not ParameterType.BOOLEAN:
        return False
    return isinstance(value, PYTHON_TYPES[spec.type])


def _reference_problems(
    after: Snapshot, changed: list[tuple[str, str]], decoded: dict
) -> Iterator[Problem]:
    entries = after.by_kind.get(Kind.PARAMETERS.value, {})
    for name in sorted(_affected_parameter_sets(entries, changed)):
        value = decoded.get((Kind.PARAMETERS.value, name))
        if value is None:
            value = _decode(Kind.PARAMETERS.value, name, entries[name])
        if isinstance(value, ParameterSet):
            yield from _parameter_set_problems(after, name, value)


def _affected_parameter_sets(
    entries: dict[str, Entry], changed: list[tuple[str, str]]
) -> Iterator[str]:
    changed_sets = {name for kind, name in changed if kind == Kind.PARAMETERS.value}
    accounts = {name for kind, name in changed if kind == Kind.ACCOUNT.value}
    templates = {name for kind, name in changed if kind == Kind.TEMPLATE.value}
    if not accounts and not templates:
        yield from changed_sets & entries.keys()
        return
    for name in entries:
        account, _, template = name.partition("/")
        if name in changed_sets or account in accounts or template in templates:
            yield name


def _parameter_set_problems(
    after: Snapshot, name: str, parameters: ParameterSet
) -> Iterator[Problem]:
    field = f"{Kind.PARAMETERS.value}/{name}"
    if after.get(Kind.ACCOUNT.value, parameters.account) is None:
        remedy = "create the account, or delete the parameter set in the same change"
        yield Problem(field, f"account {parameters.account!r} does not exist", remedy)
    entry = after.get(Kind.TEMPLATE.value, parameters.template)
    if entry is None:
        remedy = "create the template, or delete the parameter set in the same change"
        yield Problem(field, f"template {parameters.template!r} does not exist", remedy)
        return
    yield from _incarnation_problem(after, field, parameters, entry)
    template = _decode(Kind.TEMPLATE.value, parameters.template, entry)
    if isinstance(template, Template):
        yield from _value_problems(field, parameters, template)


def _incarnation_problem(
    after: Snapshot, field: str, parameters: ParameterSet, template: Entry
) -> Iterator[Problem]:
    created_here = template.incarnation == after.revision
    if parameters.template_incarnation == template.incarnation:
        return
    if created_here and parameters.template_incarnation == 0:
        return
    name = f"{field}.template_incarnation"
    set_entry = after.get(Kind.PARAMETERS.value, field.split("/", 1)[1])
    if parameters.template_incarnation == 0 and set_entry is not None:
        # The change that created the parameter set created this template as well.
        if set_entry.incarnation == template.incarnation:
            return
    yield Problem(
        name,
        f"the current template was created at revision {template.incarnation}",
        "show the template, check that the values still suit it, and give that number",
    )


def _value_problems(
    field: str, parameters: ParameterSet, template: Template
) -> Iterator[Problem]:
    for name, value in parameters.values.items():
        spec = template.parameters.get(name)
        if spec is None:
            remedy = "remove it, or declare it in the template"
            yield Problem(f"{field}.values.{name}", "not a parameter", remedy)
        elif not _has_type(spec, value):
            remedy = "give a value of that type"
            yield Problem(
                f"{field}.values.{name}", f"it is not of type {spec.type.value}", remedy
            )
    for name, spec in template.parameters.items():
        if spec.required and name not in parameters.values:
            remedy = "give it a value, or make it optional in the template"
            yield Problem(f"{field}.values.{name}", "it is missing", remedy)
    deadline_ms = parameters.deadline_ms
    if deadline_ms is not None and not 1 <= deadline_ms <= template.deadline_ms:
        remedy = f"give 1 to {template.deadline_ms}, the template's deadline"
        yield Problem(f"{field}.deadline_ms", "out of range", remedy)
    token_references = [
        s.max_tokens for s in template.stages if isinstance(s.max_tokens, str)
    ]
    for reference in token_references:
        value = resolve_reference(reference, template, parameters)
        if not isinstance(value, int) or not 1 <= value <= MAX_TOKENS:
            remedy = f"give an integer from 1 to {MAX_TOKENS}"
            yield Problem(f"{field}.values.{reference[1:]}", "out of range", remedy)


def resolve_reference(text: Any, template: Template, parameters: ParameterSet) -> Any:
    """Return the value of the parameter that ``$name`` refers to, or ``text`` as is."""
    if not isinstance(text, str) or not text.startswith("$"):
        return text
    spec = template.parameters.get(text[1:])
    default = spec.default if spec is not None else None
    return parameters.values.get(text[1:], default)
