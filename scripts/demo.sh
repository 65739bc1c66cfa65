#!/usr/bin/env bash
# One front with stand-in engines: streams an answer, says what was seen and how to send one's own.
set -eu
cd "$(dirname "$0")/.."
out=$(mktemp); trap 'kill $pid 2>/dev/null || true; rm -f "$out"' EXIT
mkfifo "$out.in"; build/calicograde-lab up <"$out.in" >"$out" & pid=$!; exec 9>"$out.in"; rm -f "$out.in"
for _ in $(seq 200); do [ -s "$out" ] && break; sleep 0.05; done
front=$(sed -n 's/.*"fronts":\["\([^"]*\)".*/\1/p' "$out")
[ -n "$front" ] || { echo "the front did not become ready" >&2; exit 1; }
body='{"model":"member-chat","max_tokens":12,"stream":true,"system":"You answer members of a points club.","messages":[{"role":"user","content":"When do my points expire?"}]}'
echo "A front listens on $front. Behind it: two readers, two writers and a roster, all stand-ins on loopback."
echo "A message is sent; the front picks a reader and a writer together, the prompt is read on one,"
echo "its state is fetched by the other, and the answer streams back under the messages API's own event names:"
echo
curl -sN --max-time 20 "http://$front/v1/messages" -H 'content-type: application/json' -d "$body" | tee "$out.answer"
grep -q 'event: message_stop' "$out.answer" || { echo "no whole answer came" >&2; rm -f "$out.answer"; exit 1; }
rm -f "$out.answer"
cat <<EOF2
Send one of your own: run  build/calicograde-lab up  and, with the address that it prints,
  curl -N http://ADDRESS/v1/messages -H 'content-type: application/json' \\
    -d '$body'
EOF2
