"""Configuration as immutable values: revisions of it, and platform deployments."""

from .check import validate_snapshot
from .model import Kind, Pipeline, Stage, StageKind
from .version import Version

__all__ = ["Kind", "Pipeline", "Stage", "StageKind", "Version", "validate_snapshot"]
