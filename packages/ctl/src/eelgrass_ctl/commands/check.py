"""``eelgrassctl check``: check a node's settings file."""

from pathlib import Path

from eelgrass_node.exceptions import SettingsError
from eelgrass_node.platform.settings import load_host_settings
from eelgrass_node.settings import load_settings

from ..exceptions import ExitCode

__all__ = ["check"]


def check(settings: Path, *, platform: bool = False) -> int:
    """Check a settings file without starting a node.

    :param settings: the YAML file of a node's settings
    :param platform: the file has the format that the platform provides
    """
    try:
        if platform:
            load_host_settings(settings)
        else:
            load_settings(settings)
    except SettingsError as error:
        print(error)
        return ExitCode.WRONG_INPUT
    print(f"{settings}: the settings are valid.")
    return ExitCode.DONE
