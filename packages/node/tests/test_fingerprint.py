"""Fingerprints, which identify a request across the attempts of its caller."""

import msgspec
import pytest

from eelgrass_node.request.fingerprint import fingerprint_of
from support.batching import routed


def changed(request, **fields):
    incoming = msgspec.structs.replace(request.incoming, **fields)
    return msgspec.structs.replace(request, incoming=incoming)


class TestFingerprint:
    def test_a_retry_has_the_same_fingerprint(self):
        first = routed()
        retry = changed(first, request_id="another", arrived_at=9.0, headers=())
        assert fingerprint_of(retry) == fingerprint_of(first)

    @pytest.mark.parametrize(
        "fields", [{"host": "other.example"}, {"target": "/other"}, {"body": b"other"}]
    )
    def test_another_host_target_or_body_changes_it(self, fields):
        first = routed()
        assert fingerprint_of(changed(first, **fields)) != fingerprint_of(first)

    def test_adjacent_parts_are_kept_apart(self):
        first = changed(routed(), target="/a", body=b"b")
        second = changed(routed(), target="/ab", body=b"")
        assert fingerprint_of(first) != fingerprint_of(second)
