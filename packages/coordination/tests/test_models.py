"""Exhaustive checks of the specifications of claims and changes.

Each invariant holds in the specification and fails in a deliberately broken variant,
which shows that the check can detect a violation.
"""

import pytest
from minicheck import Protocol, check_safety

import change_model
import claim_model

MAX_STATES = 500_000
# A counterexample is valid even if the search did not visit all states.
MAX_STATES_BROKEN = 40_000


def check(model, variant=None):
    """Check a model; print its number of states and return its properties by name."""
    most = MAX_STATES if variant is None else MAX_STATES_BROKEN
    protocol = Protocol(
        name=model.__name__,
        candidate=False,
        fields=model.State._fields,
        initial=tuple(model.State()),
        transitions=model.transitions(variant),
        invariants=model.INVARIANTS,
    )
    result = check_safety(protocol, max_states=most)
    states = result.get("states") or result.get("reachable_states")
    print(f"{model.__name__}, {variant or 'specification'}: {states} states")
    return result["properties"]


class TestClaims:
    def test_the_specification_holds(self):
        for name, found in check(claim_model).items():
            assert found["holds"] is True, (name, found)

    @pytest.mark.parametrize(
        "variant",
        [
            claim_model.TAKEOVER,
            claim_model.DISPATCH_UNREAD,
            claim_model.UNCONDITIONAL,
            claim_model.RELEASE_AFTER_DISPATCH,
        ],
    )
    def test_a_broken_variant_runs_twice(self, variant):
        assert check(claim_model, variant)["runs at most once"]["holds"] is False


class TestChanges:
    def test_the_specification_holds(self):
        for name, found in check(change_model).items():
            assert found["holds"] is True, (name, found)

    @pytest.mark.parametrize(
        ("variant", "invariant"),
        [
            (
                change_model.NO_HEAD_CONDITION,
                "each change was checked against the revision before it",
            ),
            (change_model.NO_CHANGE_ID, "each change is accepted once"),
            (change_model.NODE_APPLIES_ANY, "a node never goes back"),
        ],
    )
    def test_a_broken_variant_is_caught(self, variant, invariant):
        assert check(change_model, variant)[invariant]["holds"] is False
