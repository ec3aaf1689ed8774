"""``eelgrassctl explain``: a request's timeline from the logs of several hosts."""

import json

from eelgrass_ctl.cli import run
from eelgrass_ctl.exceptions import ExitCode
from eelgrass_ctl.timeline import timeline_of


def line(at, origin, message, **fields):
    body = {"timestamp": at, "message": message, "task_uuid": "u", **fields}
    return f"{origin} {json.dumps(body)}\n"


LINES = [
    line(3.5, "host-1", "requests: Refused.", id="r1", reason="stages: late"),
    line(1.0, "host-2", "pieces: Batch call started.", requests=["r1", "r2"], pieces=4),
    line(2.0, "host-2", "pieces: Batch call started.", requests=["r2"], pieces=1),
    "not a log line\n",
    "{broken json\n",
    line(0.5, "host-1", "node: Started.", node="n"),
]


class TestTimeline:
    def test_lines_of_all_hosts_in_order(self):
        timeline = timeline_of("r1", LINES)
        assert [found.origin for found in timeline] == ["host-2", "host-1"]
        assert timeline[1].fields == {"id": "r1", "reason": "stages: late"}

    def test_the_command_reads_files(self, tmp_path, capsys):
        file = tmp_path / "log"
        file.write_text("".join(LINES))
        assert run(["explain", "r1", str(file)]) == ExitCode.DONE
        shown = capsys.readouterr().out
        assert "reason=stages: late" in shown and "   2.500  host-1" in shown
        assert run(["explain", "r9", str(file)]) == ExitCode.REFUSED
        assert run(["explain", "r1", str(tmp_path / "no")]) == ExitCode.WRONG_INPUT
