"""Runs the scenarios of operators at the command line."""

import json

import pytest
import yaml
from pytest_bdd import given, parsers, scenarios, then, when

from eelgrass_ctl.cli import run
from eelgrass_standins.samples import OPERATOR_TOKEN
from support.background import BackgroundDeployment

scenarios("features/operators.feature")


class Terminal:
    """Runs commands and keeps their exit codes and the output of the last one."""

    def __init__(self, background, folder, capsys):
        self._background = background
        self._folder = folder
        self._capsys = capsys
        self.codes = []
        self.printed = ""

    def run(self, *arguments, node=0):
        """Run a command at a node and return its exit code."""
        internal = self._background.deployment.internal(node)
        self.codes.append(run([*arguments, "--node", internal]))
        captured = self._capsys.readouterr()
        self.printed = captured.out + captured.err
        return self.codes[-1]

    def show(self, kind, name):
        """Return an object as an item of a change file."""
        assert self.run("show", kind, name) == 0
        return yaml.safe_load(self.printed)["items"][0]

    def apply(self, *items, change_id=None, node=0):
        """Write a change file, apply it and return the exit code."""
        file = self._folder / "change.yaml"
        file.write_text(yaml.safe_dump({"items": list(items)}))
        named = ["--change-id", change_id] if change_id else []
        return self.run("apply", str(file), *named, node=node)


@pytest.fixture(scope="module")
def background():
    with BackgroundDeployment(nodes=3) as running:
        yield running


@pytest.fixture
def terminal(background, tmp_path, capsys, monkeypatch):
    monkeypatch.setenv("EELGRASS_OPERATOR_TOKEN", OPERATOR_TOKEN)
    return Terminal(background, tmp_path, capsys)


@pytest.fixture
def prepared():
    """Items and outputs that earlier steps of the scenario left for later ones."""
    return []


def new_item(kind, name, value, action="create", base=0):
    return {
        "kind": kind,
        "name": name,
        "action": action,
        "base_revision": base,
        "value": value,
    }


def notice(deadline_ms):
    stage = {"name": "s", "kind": "encode", "service": "encoders"}
    return {"stages": [stage], "deadline_ms": deadline_ms}


@when(
    parsers.parse(
        'an operator amends template "{name}" with deadline_ms {value:d} at node {n:d}'
    )
)
def amend_deadline(terminal, name, value, n):
    item = terminal.show("templates", name)
    item["value"]["deadline_ms"] = value
    terminal.apply(item, change_id="amend-deadline", node=n)


@given(parsers.parse('an operator has shown template "{name}"'))
def shown(terminal, prepared, name):
    item = terminal.show("templates", name)
    item["value"]["priority"] = 7
    prepared.append(item)


@given(parsers.parse('another team amends template "{name}" meanwhile'))
def amended_meanwhile(terminal, name):
    item = terminal.show("templates", name)
    item["value"]["priority"] = 8
    assert terminal.apply(item, node=1) == 0


@when("the operator applies the change prepared before")
@when("the operator applies the parameter set")
def apply_prepared(terminal, prepared):
    terminal.apply(*prepared, node=2)


@when(parsers.parse('an operator amends template "{name}" without its parameter "{p}"'))
def amend_without_parameter(terminal, name, p):
    item = terminal.show("templates", name)
    del item["value"]["parameters"][p]
    for stage in item["value"]["stages"]:
        if stage.get("model"):
            stage["model"] = "fixed"
    terminal.apply(item)


@when(parsers.parse('an operator sets value "{value}" of "{name}" to "{text}"'))
def set_value(terminal, value, name, text):
    item = terminal.show("parameters", name)
    item["value"]["values"][value] = text
    terminal.apply(item)


@when(parsers.parse('an operator deletes template "{name}"'))
def delete_template(terminal, name):
    item = terminal.show("templates", name)
    terminal.apply(new_item("templates", name, None, "delete", item["base_revision"]))


@given('a template "notice" and a parameter set written for it')
def notice_and_parameters(terminal, prepared):
    assert terminal.apply(new_item("templates", "notice", notice(900))) == 0
    shown_item = terminal.show("templates", "notice")
    value = {
        "account": "ministry",
        "template": "notice",
        "template_incarnation": shown_item["incarnation"],
    }
    prepared.append(new_item("parameters", "ministry/notice", value))


@given('the template "notice" is deleted and created anew by another team')
def notice_replaced(terminal):
    base = terminal.show("templates", "notice")["base_revision"]
    deletion = new_item("templates", "notice", None, "delete", base)
    assert terminal.apply(deletion, node=1) == 0
    assert terminal.apply(new_item("templates", "notice", notice(300)), node=1) == 0


@when(parsers.parse('an operator applies the change "{change_id}" two times'))
def apply_twice(terminal, prepared, change_id):
    digest = "0" * 64
    item = new_item("accounts", "new-practice", {"key_sha256": digest})
    for node in (0, 1):
        terminal.apply(item, change_id=change_id, node=node)
        prepared.append(terminal.printed)


@when("an operator checks settings without a platform")
def check_settings(terminal, tmp_path):
    file = tmp_path / "settings.yaml"
    listen = {name: "127.0.0.1:1" for name in ("callers", "internal", "gossip")}
    file.write_text(yaml.safe_dump({"node": "a", "data_centre": "b", "listen": listen}))
    terminal.codes.append(run(["check", str(file)]))
    terminal.printed = terminal._capsys.readouterr().out
    assert str(file) in terminal.printed


@when("an operator asks for status and costs")
def ask_status_and_costs(terminal):
    assert terminal.run("costs", "--json") == 0
    assert json.loads(terminal.printed) == []
    terminal.run("status", node=1)


@then(parsers.parse("the command ends with code {code:d}"))
def ends_with(terminal, code):
    assert terminal.codes[-1] == code, terminal.printed


@then(parsers.parse('it says "{text}"'))
def says(terminal, text):
    assert text in terminal.printed


@then("it says that the revision is in force on all nodes")
def in_force(terminal):
    assert "entry-1, entry-2, entry-3" in terminal.printed


@then("the history ends with that change")
def history_ends(terminal):
    assert terminal.run("history") == 0
    assert "amend-deadline" in terminal.printed.splitlines()[-1]


@then("both commands end with code 0 and name the same revision")
def same_revision(terminal, prepared):
    assert terminal.codes == [0, 0]
    assert prepared[0] == prepared[1]
