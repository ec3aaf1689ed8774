"""Which service and software version began a stream, known to several nodes."""

from .abandoned_rows import AbandonedRows
from .durable_origins import DurableOrigins, write_pace_s
from .origin_table import StreamOrigin
from .replica_choice import ReplicaChoice
from .stream_origins import StreamOrigins
from .version_history import VersionHistory
from .version_roster import VERSION_ROW_PREFIX, VersionRoster, VersionRow

__all__ = [
    "VERSION_ROW_PREFIX",
    "AbandonedRows",
    "DurableOrigins",
    "ReplicaChoice",
    "StreamOrigin",
    "StreamOrigins",
    "VersionHistory",
    "VersionRoster",
    "VersionRow",
    "write_pace_s",
]
