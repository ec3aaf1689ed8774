"""What a request is recognised by when it comes again."""

import msgspec
import pytest

from eelgrass_node.request.fingerprint import fingerprint_of
from support.batching import routed


def changed(request, **fields):
    incoming = msgspec.structs.replace(request.incoming, **fields)
    return msgspec.structs.replace(request, incoming=incoming)


class TestFingerprint:
    def test_another_attempt_is_the_same_request(self):
        first = routed()
        again = changed(first, request_id="another", arrived_at=9.0, headers=())
        assert fingerprint_of(again) == fingerprint_of(first)

    @pytest.mark.parametrize(
        "fields", [{"host": "other.example"}, {"target": "/other"}, {"body": b"other"}]
    )
    def test_another_target_or_body_is_another_request(self, fields):
        first = routed()
        assert fingerprint_of(changed(first, **fields)) != fingerprint_of(first)

    def test_parts_do_not_run_into_each_other(self):
        first = changed(routed(), target="/a", body=b"b")
        second = changed(routed(), target="/ab", body=b"")
        assert fingerprint_of(first) != fingerprint_of(second)
