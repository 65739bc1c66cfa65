#!/usr/bin/env python3
"""Streams one message from a front and prints what the model says and which tools the front called for it.

    ask_with_tools.py HOST:PORT MODEL "What do my points buy?"

Needs nothing beside Python's own library. Exit: 0 answered, 1 an error, 2 no connection.
"""
import http.client
import json
import sys


def main(address, model, text):
    connection = http.client.HTTPConnection(address, timeout=60)
    body = {"model": model, "max_tokens": 500, "stream": True, "messages": [{"role": "user", "content": text}]}
    try:
        connection.request("POST", "/v1/messages", json.dumps(body), {"content-type": "application/json"})
        answer = connection.getresponse()
    except OSError as problem:
        print(f"{address}: {problem}", file=sys.stderr)
        return 2
    if answer.status != 200:
        print(answer.status, answer.read().decode(), file=sys.stderr)
        return 1
    for line in answer:
        if not line.startswith(b"data: "):
            continue
        event = json.loads(line[6:])
        kind = event["type"]
        if kind == "content_block_delta":
            print(event["delta"].get("text", ""), end="", flush=True)
        elif kind == "content_block_start" and event["content_block"]["type"] != "text":
            block = event["content_block"]
            said = block.get("name") or "".join(part.get("text", "") for part in block.get("content", []))
            print(f"\n[{block['type']}: {said}]", flush=True)
        elif kind == "message_delta":
            print(f"\n[{event['delta']['stop_reason']}]")
        elif kind == "error":
            print(f"\n{event['error']['type']}: {event['error']['message']}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    if len(sys.argv) != 4:
        print(__doc__, file=sys.stderr)
        sys.exit(64)
    sys.exit(main(*sys.argv[1:]))
