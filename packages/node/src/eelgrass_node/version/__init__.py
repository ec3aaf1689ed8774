"""What lives as long as one accepted configuration revision."""

from .check import check_result
from .model import Kind, Pipeline, Stage, StageKind
from .version import Version

__all__ = ["Kind", "Pipeline", "Stage", "StageKind", "Version", "check_result"]
