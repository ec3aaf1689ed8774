"""The platform adapter's codecs, with valid and invalid input."""

import msgspec
import pytest

from eelgrass_coordination.ids import BackendId
from eelgrass_node.exceptions import (
    BatchAnswerMalformed,
    ConfigurationMalformed,
    RequestMalformed,
    ServerEntryMalformed,
    SettingsError,
)
from eelgrass_node.platform import requests, stage_calls
from eelgrass_node.platform.configuration import decode_deployment
from eelgrass_node.platform.servers import decode_server
from eelgrass_node.platform.settings import load_host_settings
from eelgrass_node.process.backends import BackendState, ServerIncarnation
from eelgrass_node.process.batch_items import BatchItem, ItemFailure, ItemOutcome
from eelgrass_node.process.warm_up import WarmUpBounds
from eelgrass_node.request.incoming_request import RoutedRequest
from eelgrass_node.version.deployment import AccountGrant, RouteKind, ServiceName

REGIONS = {"south": "s", "a": "r"}

SETTINGS = """
NodeName: "edge-1"
Zone: "north"
BindIp: "10.1.0.41"
Listen: {Frontend: "10.1.0.41:8625", Readiness: "10.1.0.41:8621",
         Control: "10.1.0.41:8628"}
PortRange: [7740, 7755]
Seeds: ["10.2.0.25:8628"]
Platform: {Address: "10.200.1.7:8624", form: "table",
           WritesPerS: 400}
Limits: {CpuShare: 0.516, Cores: 1, MemoryMb: 200, BandwidthMbps: 5.0}
Bounds: {GraceS: 8, RetryBudget: 0.2, RetrySlack: 56}
SomethingNew: {ignored: true}
"""


def configuration(**changes):
    route = {
        "Name": "r1",
        "Host": "Pule.example",
        "Prefix": "/a/",
        "Kind": "streaming",
        "TimeoutMs": 6000,
        "TargetLatencyMs": 1500,
        "Priority": 0,
        "MaxAttempts": 2,
        "StreamResume": True,
        "Backends": [
            {"Service": "s1", "Weight": 90},
            {"Service": "s2", "Weight": 0},
        ],
        "Stages": [{"Service": "st", "After": [], "Bytes": 3_000_000}],
    }
    nested = {**route, "Name": "r2", "Prefix": "/a/b/", "Stages": None}
    content = {
        "Version": 7,
        "Routes": [route, nested],
        "Services": [
            {"Name": "s1", "MaxConnections": 370, "Engine": {"Slots": 64}},
            {"Name": "st", "Segments": {"Batch": 4, "CallMs": 150, "HeadroomMb": 21}},
        ],
        "Limits": {"MaxBodyBytes": 4096, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "t1", "ApiKeys": ["k1", "k2"], "Priority": 1}],
    }
    return msgspec.json.encode({**content, **changes})


def incoming(headers=(), target="/a/x?q=%2f", body=b""):
    raw = ((b"Host", b"pule.example"), (b"Eelgrassward-Attempt-Id", b"id1"), *headers)
    return requests.decode_request("POST", target, raw, body, 0.0)


class TestSettings:
    def test_unknown_fields_are_ignored(self, tmp_path):
        file = tmp_path / "local.yaml"
        file.write_text(SETTINGS)
        settings = load_host_settings(file)
        assert settings.node == "edge-1"
        assert settings.gossip == "10.1.0.41:7740"
        assert settings.seed_gossip_addresses() == ["10.2.0.25:7740"]
        assert settings.bounds.retry_slack == 56
        assert settings.store.writes_per_s == 400
        assert settings.cores == 0.516
        # The link of 5 Mbit/s is the bottleneck, not the processor.
        assert settings.capacity() == 0.1

    def test_bounds_of_evacuations_and_cold_servers(self, tmp_path):
        file = tmp_path / "local.yaml"
        bounds = "Bounds: {EvacuateMs: 4000, WarmupOverage: 1.5, WarmupSlack: 5, "
        zones = 'Zones: {north: "hanoi", south: "hue"}'
        file.write_text(SETTINGS.replace("Bounds: {", bounds) + zones)
        settings = load_host_settings(file)
        assert settings.bounds.evacuate_s == 4.0
        assert settings.bounds.warm_up == WarmUpBounds(ratio=1.5, slack=5.0)
        assert settings.region_by_data_centre == {"north": "hanoi", "south": "hue"}

    # Guards against reading a missing warm-up bound as "no limit".
    def test_default_bound_of_a_cold_server_is_its_configured_rate(self, tmp_path):
        file = tmp_path / "local.yaml"
        file.write_text(SETTINGS)
        warm_up = load_host_settings(file).bounds.warm_up
        assert warm_up.max_per_s(9.0) == 9.0

    @pytest.mark.parametrize(
        "text", ["a: [", "NodeName: 3", SETTINGS.replace("PortRange", "Ports")]
    )
    def test_invalid_files_are_rejected(self, tmp_path, text):
        file = tmp_path / "local.yaml"
        file.write_text(text)
        with pytest.raises(SettingsError):
            load_host_settings(file)

    def test_a_missing_file_is_rejected(self, tmp_path):
        with pytest.raises(SettingsError):
            load_host_settings(tmp_path / "none.yaml")


class TestConfiguration:
    def test_the_longest_prefix_is_matched(self):
        deployment = decode_deployment(configuration())
        assert deployment.match("pule.example", "/a/b/c").name == "r2"
        assert deployment.match("PULE.example", "/a/c").name == "r1"
        assert deployment.match("pule.example", "/b") is None
        assert deployment.match("other.example", "/a/") is None

    def test_values_and_units(self):
        deployment = decode_deployment(configuration())
        route = deployment.match("pule.example", "/a/")
        assert (route.kind, route.timeout_s, route.target_s) == (
            RouteKind.STREAM,
            6.0,
            1.5,
        )
        assert [service.name for service in route.services] == ["s1"]
        limits = deployment.service_by_name[ServiceName("st")].batch_limits
        assert (limits.batch, limits.call_s, limits.memory_bytes) == (4, 0.15, 21e6)
        assert deployment.account_by_key["k2"] == AccountGrant("t1", 1)

    def test_regions_and_warm_up(self):
        content = msgspec.json.decode(configuration())
        content["Routes"][0]["AllowedRegions"] = ["hanoi"]
        content["Tenants"][0]["AllowedRegions"] = ["hue", "hanoi"]
        content["Services"][0] |= {"WarmupS": 3.0, "WarmupPerS": 9.1}
        deployment = decode_deployment(msgspec.json.encode(content))
        assert deployment.match("pule.example", "/a/c").regions == {"hanoi"}
        assert deployment.match("pule.example", "/a/b/c").regions == frozenset()
        assert deployment.account_by_key["k1"].regions == {"hue", "hanoi"}
        service = deployment.service_by_name[ServiceName("s1")]
        assert (service.warm_up_s, service.warm_up_per_s) == (3.0, 9.1)

    @pytest.mark.parametrize(
        "value", [b"", b"{}", b"[1]", configuration(Version="x"), b"\xff\xfe"]
    )
    def test_malformed_configurations_are_rejected(self, value):
        with pytest.raises(ConfigurationMalformed):
            decode_deployment(value)


def server_entry(**fields):
    entry = {
        "Service": "s",
        "Address": "10.0.0.1:8080",
        "Zone": "a",
        "Version": "v1",
        "Slots": 6,
        "State": "ready",
        "Sequence": 4,
        "WarmupLeftMs": 0,
        "born": 1_769_686_082_000,
        **fields,
    }
    given = {name: value for name, value in entry.items() if value is not None}
    return msgspec.json.encode(given)


class TestServers:
    def test_states(self):
        for state, expected in (
            ("ready", BackendState.LIVE),
            ("draining", BackendState.LEAVING),
        ):
            found = decode_server(REGIONS, "i-1", server_entry(State=state))
            assert found.state is expected

    def test_region_and_remaining_warm_up(self):
        found = decode_server(REGIONS, "i-1", server_entry(WarmupLeftMs=1800))
        assert (found.region, found.warm_up_s) == ("r", 1.8)
        # A data centre that the settings do not list has no region.
        assert decode_server({}, "i-1", server_entry()).region == ""

    def test_the_start_time_identifies_the_incarnation(self):
        found = decode_server(REGIONS, "i-1", server_entry())
        assert found.incarnation == ServerIncarnation(
            BackendId("i-1"), 1_769_686_082_000
        )
        assert decode_server(REGIONS, "i-1", server_entry(born=None)).started == 0

    @pytest.mark.parametrize(
        "fields",
        [
            {"Service": None},
            {"Address": None},
            {"Zone": None},
            {"Version": None},
            {"Slots": None},
            {"State": None},
            {"Sequence": None},
            {"Service": 3},
            {"Service": ""},
            {"Slots": "6"},
            {"Slots": 0},
            {"Slots": -1},
            {"Slots": 10**18},
            {"State": "something"},
            {"State": 1},
            {"Sequence": -1},
            {"WarmupLeftMs": "soon"},
            {"Address": "desk.example:80"},
            {"Address": "10.0.0.1"},
            {"Address": "10.0.0.1:x"},
            {"Address": "10.0.0.1:0"},
            {"Address": "10.0.0.1:70000"},
            {"born": "1769686082000"},
            {"born": 1.5},
            {"born": True},
            {"born": -1},
            {"born": 10**18},
        ],
        ids=str,
    )
    def test_invalid_or_implausible_entries_are_rejected(self, fields):
        with pytest.raises(ServerEntryMalformed):
            decode_server(REGIONS, "i-1", server_entry(**fields))

    @pytest.mark.parametrize(
        "value", [b"", b"\x00\xff\xfe", b"null", b"[]", b'{"Service": 3}', b"{", b'"i"']
    )
    def test_undecodable_entries_are_rejected(self, value):
        with pytest.raises(ServerEntryMalformed):
            decode_server(REGIONS, "i-1", value)


class TestRequests:
    def test_reserved_headers_of_callers_are_dropped(self):
        found = incoming(
            (
                (b"Authorization", b"Bearer k1"),
                (b"Eelgrassward-Tenant", b"other"),
                (b"Eelgrassward-Hold", b"h"),
                (b"Eelgrassward-Pin-Ms", b"4000"),
                (b"Eelgrassward-Kv-Backup", b"10.0.0.1:1"),
                (b"Kv-From", b"10.0.0.1:1/h"),
                (b"Eelgrassward-Inputs", b"10.0.0.1:1/h"),
                (b"Eelgrassward-Request-Priority", b"0"),
                (b"Connection", b"keep-alive, X-Hop"),
                (b"X-Hop", b"1"),
                (b"X-Twice", b"1"),
                (b"X-Twice", b"2"),
            )
        )
        assert found.api_key == "k1"
        names = [name for name, _ in found.headers]
        assert names == ["Host", "Eelgrassward-Attempt-Id", "X-Twice", "X-Twice"]
        assert found.target == "/a/x?q=%2f"

    def test_headers_of_a_call_to_a_server(self):
        deployment = decode_deployment(configuration())
        route = deployment.match("pule.example", "/a/")
        grant = AccountGrant("t1", 1)
        found = incoming(((b"Eelgrassward-Deadline-Ms", b"6000"),))
        routed = RoutedRequest(found, route, ServiceName("s1"), grant, 6.0, 1.5)
        headers = requests.encode_request(routed, "i-1", 4.2, ("a:1/h", "b:1/h"), "12")
        assert headers["Eelgrassward-Deadline-Ms"] == "4200"
        assert headers["Eelgrassward-Expect-Engine"] == "i-1"
        assert headers["Eelgrassward-Tenant"] == "t1"
        assert headers["Eelgrassward-Inputs"] == "a:1/h,b:1/h"
        assert headers["Last-Event-Id"] == "12"
        assert headers["Eelgrassward-Request-Priority"] == "1"
        assert "Authorization" not in headers
        assert "Kv-Fetch" not in headers

    def test_the_engine_to_copy_from_is_sent_in_a_header(self):
        route = decode_deployment(configuration()).match("pule.example", "/a/")
        routed = RoutedRequest(incoming(()), route, ServiceName("s1"), None, 6.0, 1.5)
        headers = requests.encode_request(routed, "i-1", 4.2, (), None, "10.0.0.2:80")
        assert headers["Kv-Fetch"] == "10.0.0.2:80"

    @pytest.mark.parametrize(
        "header",
        [
            (b"Eelgrassward-Deadline-Ms", b"soon"),
            (b"Eelgrassward-Deadline-Ms", b"-1"),
            (b"Eelgrassward-Deadline-Ms", b"1e30"),
            (b"Eelgrassward-Deadline-Ms", b"nan"),
            (b"Eelgrassward-Segments", b"1,x"),
            (b"Eelgrassward-Segments", b"99999999"),
            (b"Eelgrassward-Attempt-Id", b"second"),
            (b"Host", b"second.example"),
        ],
    )
    def test_malformed_headers_are_rejected(self, header):
        with pytest.raises(RequestMalformed):
            incoming((header,))

    def test_a_request_without_id_is_malformed(self):
        with pytest.raises(RequestMalformed):
            requests.decode_request("GET", "/", ((b"Host", b"h"),), b"", 0.0)

    def test_a_malformed_prompt_shape_is_ignored(self):
        found = incoming(((b"Eelgrassward-Prompt-Prefix", b"a:b,c"),))
        assert found.prompt.prefix_key() is None

    def test_prompt_shape(self):
        found = incoming(
            (
                (b"Eelgrassward-Prompt-Prefix", b"aa:800,bb:410,cc:250"),
                (b"Eelgrassward-Token-Usage", b"1460,80"),
            )
        )
        assert found.prompt.prefix_key() == "bb"
        assert found.prompt.shared_tokens() == 1210
        assert (found.prompt.tokens_in, found.prompt.tokens_out) == (1460, 80)


class TestAnswers:
    def test_head(self):
        raw = (
            (b"Eelgrassward-Attempt-Id", b"id1"),
            (b"Eelgrassward-Engine-Signature", b"s"),
            (b"Eelgrassward-Engine-Load", b"3,1,8"),
            (b"Connection", b"close"),
            (b"Transfer-Encoding", b"chunked"),
        )
        head = requests.decode_head(200, raw)
        assert head.signed and head.closes and not head.not_run
        assert head.load == (3, 1, 8)
        assert "Transfer-Encoding" not in head.headers

    @pytest.mark.parametrize("status", [421, 503])
    def test_not_run_requires_the_header_or_status_421(self, status):
        headers = ((b"Eelgrassward-Not-Executed", b"1"),)
        assert requests.decode_head(status, headers).not_run
        assert requests.decode_head(status, ()).not_run is (status == 421)

    def test_a_malformed_load_is_ignored(self):
        raw = ((b"Eelgrassward-Engine-Load", b"1,2"),)
        assert requests.decode_head(200, raw).load is None


class TestStageCalls:
    def item(self, key, inputs):
        return BatchItem("id1", 2, 5, key, inputs, 10.9, 10.0, 0, 8)

    def test_an_item_has_a_key_or_inputs(self):
        body = stage_calls.encode_items(
            [self.item("k", ()), self.item(None, ("a:1/h",))], now=10.0
        )
        first, second = msgspec.json.decode(body)["Items"]
        assert first == {
            "Id": "id1",
            "Phase": 2,
            "Segment": 5,
            "RemainingMs": 900,
            "Key": "k",
        }
        assert second["Inputs"] == ["a:1/h"] and "Key" not in second

    def test_outcomes_in_order(self):
        body = b'{"Items":[{"Handle":"a:1/h"},{"Reason":"gone"},{"Reason":"new"}]}'
        assert stage_calls.decode_outcomes(body, 3) == [
            ItemOutcome(handle="a:1/h"),
            ItemOutcome(failure=ItemFailure.INPUT_GONE),
            ItemOutcome(failure=ItemFailure.FAILED),
        ]

    @pytest.mark.parametrize("body", [b"", b"{}", b'{"Items":[]}', b'{"Items":3}'])
    def test_mismatched_responses_are_rejected(self, body):
        with pytest.raises(BatchAnswerMalformed):
            stage_calls.decode_outcomes(body, 1)

    def test_the_producer_of_a_result(self):
        assert stage_calls.producer_of("10.1.64.7:8080/91bd3f06e44") == "10.1.64.7:8080"
