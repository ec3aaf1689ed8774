"""Settings files: the examples load, and errors name the file, key and remedy."""

from pathlib import Path

import pytest

from eelgrass_node.exceptions import SettingsError
from eelgrass_node.settings import load_settings

EXAMPLES = Path(__file__).parents[3] / "examples"
VALID = (EXAMPLES / "association.yaml").read_text()
INVALID = {
    "a host name": ("callers: 10.10.1.11:8080", "callers: host:80", "listen.callers"),
    "text for a number": ("notice_ms: 3000", "notice_ms: soon", "drain_notice_ms"),
    "a negative time": ("notice_ms: 3000", "notice_ms: -1", "drain_notice_ms"),
    "an unknown policy": ("admission: feasible", "admission: x", "policy.admission"),
    "a misspelt key": ("data_centre:", "data_center:", "data_cent"),
    "invalid YAML": ("listen:", "listen: [", "file"),
}


class TestSettings:
    @pytest.mark.parametrize("name", ["association", "bastidores"])
    def test_the_examples_are_valid(self, name):
        assert load_settings(EXAMPLES / f"{name}.yaml").node

    @pytest.mark.parametrize("name", INVALID)
    def test_an_error_names_the_file_key_and_remedy(self, name, tmp_path):
        old, new, key = INVALID[name]
        file = tmp_path / "node.yaml"
        assert old in VALID
        file.write_text(VALID.replace(old, new, 1))
        with pytest.raises(SettingsError) as error:
            load_settings(file)
        assert str(file) in str(error.value)
        assert key in str(error.value)
        assert str(error.value).endswith(".")
