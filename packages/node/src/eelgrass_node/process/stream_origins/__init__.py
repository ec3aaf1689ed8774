"""Which service and software version began a stream, known to several nodes."""

from .abandoned_rows import AbandonedRows
from .durable_origins import DurableOrigins, write_pace_s
from .origin_table import StreamOrigin
from .replica_choice import ReplicaChoice
from .stream_origins import StreamOrigins
from .version_history import VersionHistory

__all__ = [
    "AbandonedRows",
    "DurableOrigins",
    "ReplicaChoice",
    "StreamOrigin",
    "StreamOrigins",
    "VersionHistory",
    "write_pace_s",
]
