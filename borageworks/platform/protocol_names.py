"""Header names and store keys of the platform's protocol that modules share."""

REQUEST_ID = "X-Borageworks-Attempt-Id"
REMAINING_MS = "X-Borageworks-Deadline-Remaining"
PROMPT_PARTS = "X-Borageworks-Prompt-Prefix"
TOKEN_COUNT = "X-Borageworks-Token-Count"
MODEL = "X-Borageworks-Model"
ORGANISATION = "X-Borageworks-Tenant"
EXPECTED_ENDPOINT = "X-Borageworks-Expect-Instance"
RESPONSE_SEAL = "X-Borageworks-Response-Seal"
NOT_EXECUTED = "X-Borageworks-Not-Executed"
# Requests a second that an endpoint takes from all instances together.
RATE_LIMIT = "Server-Limit"
ENGINE_LOAD = "X-Borageworks-Engine-Load"
ENDPOINT_LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
# Milliseconds for which the endpoint stays cold.
COLD_REMAINING = "X-Borageworks-Cold-Remaining"
# Number that rises by one when the store comes back from an older copy.
STORE_ERA = "Store-Era"
LAST_EVENT_ID = "Last-Event-Id"
# Id of the attempt that brought the first event of the stream that a caller takes up.
RESUMES = "Resumes"

CONFIGURATION_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
# A failure domain follows, which is evacuated while the key exists.
EVACUATION_PREFIX = "op/evacuate/"
OWN_PREFIX = "borageworks/"
