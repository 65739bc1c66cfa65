"""Many real daemons on loopback: times and memory of `calicograde fleet show` with silent fronts, and half of them
drained under load. usage: fleet_measure.py BUILD_FOLDER [FRONTS]. Prints a Markdown table; figures are simulated
(stand-in engines, all on one machine)."""
import json, os, resource, signal, subprocess, sys, tempfile, time

build, fronts = sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 200
day = f"""<day name="fleet" seed="5" length="20s">
  <fleet racks="2" zones="2">
    <engines kind="prefill" stage="read" count="4" rate="100"/><engines kind="decode" stage="write" count="4" slots="256" rate="100"/>
  </fleet>
  <fronts count="{fronts}" admin="true"/>
  <route name="member-chat" effect="retriable" first-token-target="1500ms" route-timeout="10s"/>
</day>"""
folder = tempfile.mkdtemp()
path = os.path.join(folder, "fleet-day.xml")
open(path, "w").write(day)
up = subprocess.Popen([build + "/calicograde-lab", "up", path], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
began = time.time()
ready = json.loads(up.stdout.readline())
fleet = ["/usr/bin/time", "-f", "%e %M", build + "/calicograde", "fleet", "--fleet", ready["fleet"], "--json", "--quiet"]
print("| figure | value |\n| --- | --- |")
print(f"| {fronts} fronts up after | {time.time() - began:.1f} s |")

def run(*words):
    p = subprocess.run(fleet + list(words), capture_output=True, text=True)
    lines = [json.loads(l) for l in p.stdout.splitlines()]
    results = {}
    for l in lines:
        if "result" in l: results[l["result"]] = results.get(l["result"], 0) + 1
    wall, kib = p.stderr.strip().splitlines()[-1].split()
    return p.returncode, results, float(wall), int(kib), lines

for silent in (0, 5, 20):
    for pid in ready["pids"][:silent]: os.kill(pid, signal.SIGSTOP)
    code, results, wall, kib, _ = run("--each", "2s", "--at-once", str(fronts), "show", "all")
    for pid in ready["pids"][:silent]: os.kill(pid, signal.SIGCONT)
    print(f"| fleet show, {silent} silent, 2 s each | {wall:.2f} s, {kib} KiB, exit {code}, {results} |")
    time.sleep(1)
load = subprocess.Popen([build + "/calicograde-lab", "load", "--front", ",".join(ready["fronts"]), "--sessions", "30",
                         "--turns", "2", "--think", "1", "--opening-tokens", "300", "--turn-tokens", "100",
                         "--answer-tokens", "20", "--for", "12s"], stdout=subprocess.PIPE, text=True)
time.sleep(3)
half = [f"front-{k}" for k in range(0, fronts, 2)]
code, results, wall, kib, lines = run("drain", *half, "--limit", "20s", "--hall-share", "1", "--at-once", "10%")
print(f"| half drained under load, 10% at once | {wall:.2f} s, exit {code}, {results} |")
done = time.time()
time.sleep(1)
_, _, _, _, states = run("show", *half)
left = sum(s["answer"]["counts"]["inferences"] + s["answer"]["drain"]["left"]["holdings"] for s in states)
print(f"| in work or held at drained fronts afterwards | {left} |")
out, _ = load.communicate()
for line in out.splitlines():
    if line.startswith(("| completed", "| shed", "| errored", "| cut", "| unreachable", "| arrivals")): print(line)
code, _, wall, kib, rep = run("report", "all")
print(f"| report of all | {wall:.2f} s, {kib} KiB, exit {code}, heard {rep[0]['heard']} of {rep[0]['asked']} |")
up.stdin.close()
print(f"| all stopped | exit {up.wait()} |")
