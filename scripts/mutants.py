#!/usr/bin/env python3
"""Mutation tests: checks that the test of a mechanism fails without the mechanism.

Every mutant removes one mechanism from a scratch copy of the tree, builds the copy and runs one
test, which must fail. Usage: scripts/mutants.py [NAME...]. The results are printed as a table.
"""
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Fields: name, file, text, replacement, test binary, test name.
MUTANTS = [
    ("claim-skipped", "packages/gateway/src/filter_duplicate.cc",
     "  ClaimKey claim;", "  if (!exchange.m_key.empty())\n    return Verdict::kContinue;\n  ClaimKey claim;",
     "process", "a resend through another instance gets the first answer whole"),
    ("claim-unavailable-goes-on", "packages/gateway/src/gateway.cc",
     "    case wire::ClaimVerdict::UNAVAILABLE:",
     "    case wire::ClaimVerdict::UNAVAILABLE:\n      impl::RunChainAfterClaim(state, exchange);\n      return;",
     "process", "without a majority a non-repeatable request*"),
    ("gone-owner-frees-its-keys", "packages/state/src/dispatch_ledger.cc",
     "    ledger.m_keys.at(key).state = wire::KeyState::UNKNOWN;",
     "    ledger.m_keys.at(key).state = wire::KeyState::RELEASED;",
     "unit", "what a dead instance had running is unknown*"),
    ("sent-called-not-run", "packages/core/src/result_code.cc",
     '{kOutcomeUnknown, "outcome_unknown", 502, kMaybe,', '{kOutcomeUnknown, "outcome_unknown", 502, kNo,',
     "unit", "a request that was sent is never called not run"),
    ("stop-does-not-wait", "apps/poppywayd/instance_agent.cc",
     "  return m_drained && m_commands.empty() && m_proposals_out == 0;", "  return m_stopping;",
     "process", "a rolling planned restart*"),
    ("leaving-ignored", "packages/settings/src/catalogue.cc + apps/poppywayd/broker_service.cc",
     ["if (server.m_leaving || server.m_pool != event.m_pool)", "if (server.m_pool == pool && stays)"],
     ["if (server.m_pool != event.m_pool)", "if (server.m_pool == pool)"],
     "process", "a leaving backend server gets no new work*"),
    ("delta-may-lower-version", "packages/state/src/configuration.cc",
     "  if (delta.to_version <= version || (!delta.whole && delta.from_version != version))\n    return false;",
     "  if (!delta.whole && delta.from_version != version)\n    return false;",
     "unit", "a reader's version never falls*"),
    ("base-version-ignored", "packages/state/src/configuration.cc",
     "  if (change.base_version != configuration.m_version) {", "  if (false) {",
     "process", "of two operators on one base version*"),
    ("change-id-forgotten", "packages/state/src/configuration.cc",
     "  Remember(configuration, change, outcome);", "",
     "process", "a change resent after its answer was lost*"),
    ("floor-without-acknowledgement", "packages/policy/src/shed_floor.cc",
     "  if (!inputs.m_all_acknowledged)\n    return floor;", "",
     "unit", "the floor moves one step at a time*"),
    ("lower-tiers-not-closed-first", "packages/policy/src/pool_client.cc",
     "  return tier + 1 >= kTiers || !Admits(pool.m_floor, tier + 1);", "  return true;",
     "unit", "a request is given up for its backlog only*"),
    ("commit-without-majority", "packages/log/src/log_node.cc",
     "  const std::int64_t index = matches[majority - 1];", "  const std::int64_t index = matches[0];",
     "unit", "acknowledged entries survive*"),
    ("commit-of-older-term", "packages/log/src/log_node.cc",
     "  if (index > node.m_commit_index && TermAt(node, index) == node.m_hard_state.term)", "  if (index > node.m_commit_index)",
     "unit", "an entry of an older term is committed only*"),
    ("damaged-record-skipped", "packages/log/src/record.cc",
     '    return Damaged(offset, "payload checksum mismatch");', "    return std::nullopt;",
     "unit", "a flipped bit anywhere*"),
    ("failed-sync-forgiven", "packages/log/src/log_store.cc",
     "  m_failed = true;\n", "",
     "unit", "a full disk and a failing sync*"),
    ("stream-end-not-checked", "packages/gateway/src/relay.cc",
     "  if (cut_stream) {", "  if (false) {",
     "process", "a broken answer is never passed on as whole*"),
    ("crossed-answer-passed-on", "packages/gateway/src/relay.cc",
     "  if (!answered.empty() && answered != exchange->m_id) {", "  if (false) {",
     "process", "a broken answer is never passed on as whole*"),
    ("new-broker-does-not-wait", "packages/policy/src/broker.cc",
     "  return now < broker.m_recovering_until && !all_here;", "  return false;",
     "unit", "a new broker grants nothing until*"),
    ("lease-moves-at-once", "packages/state/src/instance_table.cc",
     "  const Duration limit = table.m_lease + table.m_margin;\n  for", "  const Duration limit = table.m_lease / 2;\n  for",
     "unit", "a lease moves only after*"),
    ("caller-not-watched", "packages/gateway/src/dispatch.cc",
     "  return poll(&watched, 1, 0) == 1", "  return false && poll(&watched, 1, 0) == 1",
     "process", "a caller that leaves while its request waits*"),
]


def run(scratch, mutant):
    name, file, text, replacement, binary, test = mutant
    files = file.split(" + ")
    texts = text if isinstance(text, list) else [text]
    replacements = replacement if isinstance(replacement, list) else [replacement]
    originals = [(scratch / f).read_text() for f in files]
    for f, original, old, new in zip(files, originals, texts, replacements):
        if original.count(old) != 1:
            return f"the text to change stands {original.count(old)} times in {f}"
        (scratch / f).write_text(original.replace(old, new))
    try:
        target = "poppyway_tests" if binary == "unit" else "poppyway_process_tests"
        built = subprocess.run(["cmake", "--build", scratch / "build", "--target", target, "-j", "6"],
                               capture_output=True, text=True)
        if built.returncode != 0:
            return "does not build"
        try:
            tested = subprocess.run([scratch / "build/tests" / target, test], capture_output=True,
                                    text=True, timeout=180)
        except subprocess.TimeoutExpired:
            return "caught (did not end)"
        if "No test cases matched" in tested.stdout:
            return "no such test"
        return "caught" if tested.returncode != 0 else "SURVIVED"
    finally:
        for f, original in zip(files, originals):
            (scratch / f).write_text(original)


def main():
    wanted = sys.argv[1:]
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="poppyway-mutants-"))
    failed = 0
    try:
        files = subprocess.run(["git", "ls-files"], cwd=ROOT, capture_output=True, text=True).stdout
        for name in files.split("\n"):
            if name and (ROOT / name).is_file():
                (scratch / name).parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(ROOT / name, scratch / name)
        subprocess.run(["cmake", "-S", scratch, "-B", scratch / "build", "-G", "Ninja",
                        "-DCMAKE_BUILD_TYPE=RelWithDebInfo"], check=True, capture_output=True)
        print("| mutant | changes | proof | result |\n|---|---|---|---|")
        for mutant in MUTANTS:
            if wanted and mutant[0] not in wanted:
                continue
            result = run(scratch, mutant)
            failed += 0 if result.startswith("caught") else 1
            print(f"| {mutant[0]} | {mutant[1]} | {mutant[5]} | {result} |", flush=True)
    finally:
        shutil.rmtree(scratch)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
