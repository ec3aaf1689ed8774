"""What lives as long as one accepted configuration revision."""

from .check import validate_snapshot
from .model import Kind, Pipeline, Stage, StageKind
from .version import Version

__all__ = ["Kind", "Pipeline", "Stage", "StageKind", "Version", "validate_snapshot"]
