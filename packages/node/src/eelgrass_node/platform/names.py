"""Header names, paths and other names of the platform's wire formats."""

__all__ = [
    "ATTEMPT_ID",
    "AUTHORIZATION",
    "BRITTLE",
    "CRASHES_TABLE",
    "DEADLINE_MS",
    "ENGINE_ID",
    "ENGINE_LOAD",
    "ENGINE_SIGNATURE",
    "EXPECT_ENGINE",
    "INPUTS",
    "KV_FETCH",
    "LAST_EVENT_ID",
    "LEAVING",
    "LENGTH_HINT",
    "LIMIT",
    "NOT_EXECUTED",
    "ORIGINS_TABLE",
    "PROMPT_PREFIX",
    "READY_PATH",
    "REPORT_PATH",
    "REQUEST_PRIORITY",
    "RESUMES",
    "RETRY_AFTER",
    "SEGMENTS",
    "SEGMENT_KEY",
    "SETTINGS_VARIABLE",
    "STAGE_FREE_PATH",
    "STAGE_RUN_PATH",
    "SYSTEM_HEADERS",
    "TENANT",
    "TOKEN_USAGE",
]

SETTINGS_VARIABLE = "EELGRASSWARD_CONFIG"

ATTEMPT_ID = "Eelgrassward-Attempt-Id"
AUTHORIZATION = "Authorization"
# How many requests a server may have to refuse within a second; it crashes beyond that.
BRITTLE = "Server-Brittle"
DEADLINE_MS = "Eelgrassward-Deadline-Ms"
ENGINE_ID = "Eelgrassward-Engine-Id"
ENGINE_LOAD = "Eelgrassward-Engine-Load"
ENGINE_SIGNATURE = "Eelgrassward-Engine-Signature"
EXPECT_ENGINE = "Eelgrassward-Expect-Engine"
INPUTS = "Eelgrassward-Inputs"
# The address of another engine, from which the called one first copies the cached parts
# of the prompt that it lacks.
KV_FETCH = "Kv-Fetch"
LAST_EVENT_ID = "Last-Event-Id"
# "1" in all answers of a server that leaves.
LEAVING = "Server-Leaving"
LENGTH_HINT = "Eelgrassward-Length-Hint"
# How many requests a second a server takes from all hosts together.
LIMIT = "Server-Limit"
NOT_EXECUTED = "Eelgrassward-Not-Executed"
PROMPT_PREFIX = "Eelgrassward-Prompt-Prefix"
REQUEST_PRIORITY = "Eelgrassward-Request-Priority"
# The attempt id of the attempt that brought the first event of a stream that the caller
# resumes.
RESUMES = "Resumes"
# In a server's 503: for how many seconds it wants no requests from the host.
RETRY_AFTER = "Retry-After"
SEGMENTS = "Eelgrassward-Segments"
SEGMENT_KEY = "Eelgrassward-Segment-Key"
TENANT = "Eelgrassward-Tenant"
TOKEN_USAGE = "Eelgrassward-Token-Usage"

# Headers of engine calls that only the system may set; a caller's headers of these
# names are dropped.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        DEADLINE_MS,
        EXPECT_ENGINE,
        INPUTS,
        REQUEST_PRIORITY,
        TENANT,
        "Eelgrassward-Expect-Version",
        "Eelgrassward-Hold",
        "Eelgrassward-Pin-Ms",
        "Eelgrassward-Kv-Backup",
        "Kv-From",
        KV_FETCH,
    )
)

# Written by the nodes, unlike the tables of the operator and the servers.
CRASHES_TABLE = "crashes"
ORIGINS_TABLE = "stream-origins"

READY_PATH = "/-/readyz"
REPORT_PATH = "/-/report"
STAGE_RUN_PATH = "/-/stage-run"
STAGE_FREE_PATH = "/-/stage-free"
