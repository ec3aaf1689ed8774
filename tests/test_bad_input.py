"""Bad input gets a 4xx response with the field and the remedy, and nothing runs."""

import pytest
import pytest_asyncio

from support.local import LocalDeployment

pytestmark = pytest.mark.asyncio(loop_scope="module")

GOOD = b'{"account": "permit-clerks", "input": "A-101"}'
BODIES = {
    "not json": (b"{", 400, "malformed-body"),
    "not an object": (b"[1]", 400, "bad-field"),
    "no body": (b"", 400, "malformed-body"),
    "not utf-8": (b'{"account": "\xff\xfe", "input": 1}', 400, "malformed-body"),
    "deeply nested": (b'{"input":' + b"[" * 100_000, 400, "malformed-body"),
    "no account": (b'{"input": "x"}', 400, "bad-field"),
    "no input": (b'{"account": "permit-clerks"}', 400, "bad-field"),
    "account of a wrong type": (b'{"account": 7, "input": 1}', 400, "bad-field"),
    "unknown field": (GOOD[:-1] + b', "priority": 99}', 400, "bad-field"),
    "stream of a wrong type": (GOOD[:-1] + b', "stream": "yes"}', 400, "bad-field"),
    "deadline of a wrong type": (
        GOOD[:-1] + b', "deadline_ms": "soon"}',
        400,
        "bad-field",
    ),
    "negative deadline": (GOOD[:-1] + b', "deadline_ms": -1}', 400, "bad-deadline"),
    "deadline of nothing": (GOOD[:-1] + b', "deadline_ms": 0}', 400, "bad-deadline"),
    "absurd deadline": (GOOD[:-1] + b', "deadline_ms": 1e15}', 400, "bad-"),
    "unknown account": (b'{"account": "x", "input": 1}', 401, "not-authenticated"),
    "too large": (b'{"input": "' + b"x" * (1 << 21) + b'"}', 413, "body-too-large"),
}
HEADERS = {
    "no key of the account": ({"Authorization": ""}, 401, "not-authenticated"),
    "key of another account": (
        {"Authorization": "Bearer other"},
        403,
        "wrong-account",
    ),
    "empty idempotency key": ({"Idempotency-Key": ""}, 400, "bad-header"),
    "long idempotency key": ({"Idempotency-Key": "k" * 201}, 400, "bad-header"),
}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment():
    async with LocalDeployment(nodes=1) as running:
        yield running


def check_problem(deployment, reply, status, reason):
    assert reply.status == status, reply
    assert reason in reply.body["type"]
    assert reply.body["remedy"]
    assert reply.headers["Content-Type"] == "application/problem+json"
    assert deployment.journal() == []


class TestBodies:
    @pytest.mark.parametrize("name", BODIES)
    async def test_a_bad_body_is_refused(self, deployment, name):
        body, status, reason = BODIES[name]
        reply = await deployment.client.post_raw(
            deployment.callers(0), "current-issue", body
        )
        check_problem(deployment, reply, status, reason)
        assert reply.outcome == "not_run"


class TestHeaders:
    @pytest.mark.parametrize("name", HEADERS)
    async def test_a_bad_header_is_refused(self, deployment, name):
        headers, status, reason = HEADERS[name]
        reply = await deployment.client.post_raw(
            deployment.callers(0), "current-issue", GOOD, headers=headers
        )
        check_problem(deployment, reply, status, reason)

    async def test_a_duplicate_header_is_refused(self, deployment):
        headers = [
            ("Authorization", "Bearer demo-key"),
            ("Idempotency-Key", "a"),
            ("Idempotency-Key", "b"),
        ]
        path = "/v1/pipelines/transmittal/requests"
        async with deployment.client._session.post(
            f"http://{deployment.callers(0)}{path}", data=GOOD, headers=headers
        ) as response:
            problem = await response.json(content_type=None)
        assert response.status == 400
        assert problem["type"].endswith("duplicate-header")
        assert deployment.journal() == []

    async def test_an_unknown_pipeline_is_refused(self, deployment):
        reply = await deployment.client.post_raw(
            deployment.callers(0), "no-such-pipeline", GOOD
        )
        check_problem(deployment, reply, 404, "unknown-pipeline")

    async def test_refusals_are_counted_by_reason(self, deployment):
        assert deployment.count("refusal.bad-field") >= 5
        assert deployment.count("refusal.wrong-account") == 1
