"""Which service and software version began a stream, known to several nodes."""

from .origin_table import StreamOrigin
from .replica_choice import ReplicaChoice
from .stream_origins import StreamOrigins
from .version_history import VersionHistory

__all__ = ["ReplicaChoice", "StreamOrigin", "StreamOrigins", "VersionHistory"]
