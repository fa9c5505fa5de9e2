"""One HTTP call with a time limit; connections are not kept."""

import http.client
import json


def call(address, method, path, content=None, seconds=1.0, headers=None):
    """Return the status and the JSON body; status 0 if there was no answer in time."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=seconds)
    body = None if content is None else json.dumps(content, separators=(",", ":"))
    try:
        conn.request(
            method,
            path,
            body=body,
            headers={"Content-Type": "application/json", **(headers or {})},
        )
        answer = conn.getresponse()
        data = answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        conn.close()
    try:
        return answer.status, json.loads(data or b"{}")
    except ValueError:
        return answer.status, {}
