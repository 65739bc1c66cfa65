#!/usr/bin/env python3
"""What the second front adds to a tool call, and what a call in the midst of a message costs.

    bench/tools_measure.py [CALLS]      after `make build`; prints a table (Markdown)

Calls go straight to a stand-in tool server and through the front by turns, on kept connections, from one client;
so both columns hold the client's own cost. Simulated: the tool server is a stand-in on the same machine.
"""
import http.client
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time

PLAN = """<day name="measure" seed="1" length="1s">
  <fleet><engines kind="prefill" stage="read" count="1"/><engines kind="decode" stage="write" count="1" token="1ms"/></fleet>
  <fronts count="1"/>
  <route name="agent" effect="retriable" first-token-target="3s" route-timeout="20s" relay="look*" rounds="8"/>
  <tools servers="1"><tool name="look_up" effect="retriable"/></tools>
</day>"""


def post(link, path, body, headers):
    link.request("POST", path, json.dumps(body), {"content-type": "application/json",
                                                  "accept": "application/json, text/event-stream", **headers})
    answer = link.getresponse()
    return answer, answer.read()


def opened(address):
    link = http.client.HTTPConnection(address, timeout=20)
    answer, _ = post(link, "/mcp", {"jsonrpc": "2.0", "id": 0, "method": "initialize", "params": {
        "protocolVersion": "2025-06-18", "capabilities": {}, "clientInfo": {"name": "m", "version": "1"}}}, {})
    return link, {"mcp-session-id": answer.headers.get("mcp-session-id")}


def call(link, headers, k, progress=False):
    params = {"name": "look_up", "arguments": {}}
    if progress:
        params["_meta"] = {"progressToken": k}
    begun = time.perf_counter()
    _, body = post(link, "/mcp", {"jsonrpc": "2.0", "id": k, "method": "tools/call", "params": params}, headers)
    assert b'"result"' in body, body
    return (time.perf_counter() - begun) * 1e3


def message(link, calls):
    text = "hello " + " ".join("[call look_up]" for _ in range(calls)) + " [mark x]"
    begun = time.perf_counter()
    link.request("POST", "/v1/messages", json.dumps({"model": "agent", "max_tokens": 900, "stream": True,
                                                     "messages": [{"role": "user", "content": text}]}),
                 {"content-type": "application/json"})
    body = link.getresponse().read()
    assert body.count(b"mcp_tool_result") >= calls and b"message_stop" in body, body[-300:]
    return (time.perf_counter() - begun) * 1e3


def quantiles(values):
    values = sorted(values)
    return f"{statistics.median(values):.2f} | {values[int(len(values) * 0.99)]:.2f}"


def main(count):
    build = os.environ.get("CALICOGRADE_BUILD", "build")
    with tempfile.NamedTemporaryFile("w", suffix=".xml") as plan:
        plan.write(PLAN)
        plan.flush()
        town = subprocess.Popen([build + "/calicograde-lab", "up", plan.name], stdin=subprocess.PIPE,
                                stdout=subprocess.PIPE)
        try:
            where = json.loads(town.stdout.readline())
            time.sleep(1)  # until the tools are listed
            straight, through = opened(where["tools"][0]), opened(where["fronts"][0])
            direct, relayed = [], []
            for k in range(1, count + 1):
                direct.append(call(*straight, k))
                relayed.append(call(*through, k))
            link = http.client.HTTPConnection(where["fronts"][0], timeout=20)
            plain = [message(link, 0) for _ in range(count // 10)]
            with_calls = [message(link, 4) for _ in range(count // 10)]
        finally:
            town.stdin.close()
            town.wait(20)
    print("| | p50 ms | p99 ms |\n| --- | --- | --- |")
    print(f"| tool call, straight | {quantiles(direct)} |\n| tool call, through the front | {quantiles(relayed)} |")
    print(f"| message of one round | {quantiles(plain)} |\n| message of five rounds with four calls | {quantiles(with_calls)} |")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1000)
