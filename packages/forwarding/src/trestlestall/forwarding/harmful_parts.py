"""Parts of prompts that crash upstreams, whatever else a request holds; pure.

Requests with such a part need not be alike, so ``crashes``, which knows whole requests,
does not find it. Its other parts are present at the same crashes, and so is what ran
beside it. So a part is held only if it is the best explanation of its crashes:

- several crashes can't have one common cause (``suspects.count_independent``);
- they are far likelier under a part that crashes upstreams than at the rate at which
  upstreams crash without it, counting the time for which requests with it are answered;
- no other part explains the same crashes better. Parts that explain them equally well
  are held as a group: a request that has only some of them is tried, one at a time,
  until one part explains them better than another.

A whole answer clears a part of all crashes whose requests were sent before. Requests
with a part in doubt are kept at one upstream; of those whose hold is over one is tried.

    record = Record()
    record.record_end(key, "upstream-4", presence)
    record.evaluate([key], now)
"""

import dataclasses
import math
from collections import abc

from trestlestall.forwarding import crashes, part_evidence, part_reports, suspects

#: The reasons for not sending a request with a part that is held, and for not sending
#: one now as another one shows whether the part still crashes upstreams.
HELD = "upstreams ended while they answered requests with a part of its prompt"
TRIED = "another request with a part of its prompt is on trial"
#: Independent crashes and the score from which on a part is in doubt, and those from
#: which on it is held. A score of 13 is one wrong hold in 400,000 parts that are
#: present at crashes by chance.
DOUBT_CRASHES = 2
DOUBT_SCORE = 9.0
HOLD_CRASHES = 3
HOLD_SCORE = 13.0
#: The most parts that are held together: a process that has just started can't tell
#: more parts apart, but soon will.
GROUP_LIMIT = 4
#: The difference of the evidence against two parts at which one of them explains
#: crashes better than the other.
MARGIN = 2.0
#: Seconds from the last crash to one attempt with a held part, by the attempts that
#: failed: a harmful part crashes three upstreams in the first day, then one a day.
TRIAL_SECONDS = (30.0, 600.0, 3600.0, 86_400.0)
#: Crashes so many seconds apart are those of different attempts.
TRIAL_GAP_SECONDS = 25.0
#: Seconds from the last crash to an attempt by a workspace that had no part in any.
OTHERS_SECONDS = 6.0

Key = part_reports.Key
Verdict = crashes.Verdict
#: The verdicts, the mildest first.
SEVERITY = (Verdict.HARMLESS, Verdict.DOUBTFUL, Verdict.ON_TRIAL, Verdict.HARMFUL)


@dataclasses.dataclass(frozen=True)
class Finding:
    """The verdict on a request, and the part to which it is due."""

    verdict: Verdict
    key: Key | None = None


HARMLESS = Finding(Verdict.HARMLESS)


class Record:
    """Crashes, parts and holds; times are of one process's clock, in seconds."""

    def __init__(self) -> None:
        self.evidence = part_evidence.Evidence()
        self._groups: dict[Key, frozenset[Key]] = {}
        self._culprits = crashes.BoundedDict(part_evidence.INCARNATIONS_LIMIT)

    def __len__(self) -> int:
        """Return the number of parts that were present at crashes."""
        return len(self._suspects)

    @property
    def _suspects(self) -> dict[Key, suspects.Suspect]:
        return self.evidence.suspects

    # Recording.

    def record_end(
        self, key: Key, incarnation: str, presence: suspects.Presence
    ) -> bool:
        """Record that requests with a part ended with an incarnation.

        Return whether that is new.
        """
        self.evidence.record_crash(incarnation, presence.at)
        if key not in self._culprits.get(incarnation, (key,)):
            return False
        is_new = self.evidence.add(key, incarnation, presence, self._groups)
        if is_new and key in self._groups:
            self._attribute(incarnation, self._groups[key])
        return is_new

    def record_answer(self, key: Key, sent_at: float) -> bool:
        """Record a whole answer; return whether other processes must be notified."""
        changed = self.evidence.record_answer(key, sent_at)
        if changed:
            self._review(key)
        return changed

    def record_alive(self, incarnation: str) -> None:
        """Record that an incarnation had not crashed after all."""
        self.evidence.record_alive(incarnation)
        self._culprits.pop(incarnation, None)
        self._excuse(incarnation, ())

    def record_outcome(
        self,
        request: str,
        keys: abc.Collection[Key],
        sent_at: float,
        answered: bool,
        now: float,
    ) -> part_reports.Report:
        """Record that a request has left its upstream, and whether it was answered.

        Return what others must be notified of.
        """
        self.evidence.record_left(request, keys, now)
        if not answered:
            return part_reports.Report()
        cleared = [key for key in keys if self.record_answer(key, sent_at)]
        return part_reports.Report(answers=self.evidence.list_answers(cleared, now))

    # Evaluation.

    def evaluate(
        self,
        keys: abc.Collection[Key],
        now: float,
        workspace: str | None = None,
        judges_since: float = -math.inf,
    ) -> Finding:
        """Return the most severe verdict on a request with these parts.

        Without a workspace it may be any. A process holds parts by what it knows itself
        only for crashes of requests sent at ``judges_since`` or later: before, it did
        not hear of all that was answered.
        """
        if not self._suspects:
            return HARMLESS
        verdicts = [
            (key, verdict)
            for key in keys
            if (verdict := self._evaluate_part(key, keys, now, workspace, judges_since))
            is not Verdict.HARMLESS
        ]
        if not verdicts:
            return HARMLESS
        key, verdict = max(verdicts, key=lambda one: self._rank_verdict(*one, now))
        return Finding(verdict, key)

    def _rank_verdict(self, key: Key, verdict: Verdict, now: float) -> tuple:
        """Return the sort key of verdicts: the most severe, then the likeliest."""
        score = self._compute_score(key, now) if key in self._suspects else 0.0
        return SEVERITY.index(verdict), score

    def _evaluate_part(
        self,
        key: Key,
        keys: abc.Collection[Key],
        now: float,
        workspace: str | None,
        judges_since: float,
    ) -> Verdict:
        judges = judges_since < math.inf
        if key in self._groups:
            if judges:
                self._reduce_group(self._groups[key], now)
            return self._evaluate_held(key, keys, now, workspace)
        if not judges:
            return Verdict.HARMLESS
        if self._is_held_elsewhere(key):
            # One crash is enough there: it is no coincidence.
            if key not in self._suspects:
                return Verdict.ON_TRIAL
            self._hold((key,))
            return Verdict.HARMFUL
        if key not in self._suspects:
            return Verdict.HARMLESS
        return self._judge(key, now, judges_since)

    def _evaluate_held(
        self, key: Key, keys: abc.Collection[Key], now: float, workspace: str | None
    ) -> Verdict:
        if key not in self._groups:
            return Verdict.HARMLESS
        if not self._groups[key].issubset(keys):
            return Verdict.ON_TRIAL
        suspect = self._suspects[key]
        seconds = now - suspect.latest
        known = suspect.workspaces
        if len(known) == 1 and workspace not in known and seconds > OTHERS_SECONDS:
            return Verdict.ON_TRIAL
        moments = (one.at for one in suspect.presences.values())
        failed = crashes.count_clusters(moments, TRIAL_GAP_SECONDS) - 1
        held_for = TRIAL_SECONDS[min(failed, len(TRIAL_SECONDS) - 1)]
        return Verdict.HARMFUL if seconds < held_for else Verdict.ON_TRIAL

    def _reduce_group(self, group: frozenset[Key], now: float) -> None:
        """Release the parts of a group that explain its crashes less well by now."""
        if len(group) == 1:
            return
        best = list_best(
            {key: self._suspects[key].compute_evidence_against(now) for key in group}
        )
        if best != group:
            self._narrow(group, best)

    def _narrow(self, group: frozenset[Key], best: frozenset[Key]) -> None:
        """Hold only the best parts of a group, and excuse the others."""
        for key in group - best:
            self._release(key)
        self._hold(best)

    def _is_held_elsewhere(self, key: Key) -> bool:
        """Return whether the part is held in another context."""
        return any(
            held.part == key.part and held.context != key.context
            for held in self._groups
        )

    def _judge(self, key: Key, now: float, judges_since: float) -> Verdict:
        """Return the verdict on a part by its crashes; hold it if it is harmful."""
        suspect = self._suspects[key]
        if suspect.count_independent() < DOUBT_CRASHES:
            return Verdict.HARMLESS
        score = self._compute_score(key, now)
        if score < DOUBT_SCORE:
            return Verdict.HARMLESS
        against = {key: suspect.compute_evidence_against(now)}
        for rival in self.evidence.list_rivals(key):
            against[rival] = self._suspects[rival].compute_evidence_against(now)
        best = list_best(against)
        if key not in best:
            return Verdict.HARMLESS
        witnessed = suspect.count_independent(judges_since)
        is_certain = witnessed >= HOLD_CRASHES and score >= HOLD_SCORE
        if not is_certain or len(best) > GROUP_LIMIT:
            return Verdict.DOUBTFUL
        self._hold(one for one in best if self._is_equal(one, key))
        return Verdict.HARMFUL

    def _is_equal(self, other: Key, key: Key) -> bool:
        """Return whether a part explains all crashes of another one of its context."""
        explained = self._suspects[other].presences.keys()
        wanted = self._suspects[key].presences.keys()
        return other.context == key.context and wanted <= explained

    def _compute_score(self, key: Key, now: float) -> float:
        return self.evidence.compute_score(key, now, self._culprits)

    def describe(self, key: Key, now: float) -> dict[str, float]:
        """Return the figures that decide on a part, for a log line."""
        suspect = self._suspects[key]
        return {
            "score": round(self._compute_score(key, now), 2),
            "independent": suspect.count_independent(),
            "answered_seconds": round(suspect.measure_answered(now), 3),
        }

    def list_held(self) -> list[frozenset[Key]]:
        """Return the groups of parts that are held, or tried again."""
        return list(dict.fromkeys(self._groups.values()))

    def list_attributed(self) -> abc.Iterable[str]:
        """Return the incarnations whose crash a held part explains."""
        return self._culprits.keys()

    # Exchange between records.

    def report(self, now: float) -> part_reports.Report:
        """Return all that is known."""
        found = self.report_held(now)
        ends = self.evidence.list_ends(self._suspects, now)
        return dataclasses.replace(
            found, crashed=self.evidence.list_crashed(now), ends=ends
        )

    def report_held(
        self, now: float, more: abc.Iterable[Key] = ()
    ) -> part_reports.Report:
        """Return what is known of the parts that are held, and of some more."""
        keys = dict.fromkeys((*self._groups, *more))
        groups = tuple(map(encode_group, self.list_held()))
        return part_reports.Report((), self.evidence.list_ends(keys, now), (), groups)

    def merge(self, report: part_reports.Report, now: float) -> part_reports.Report:
        """Merge another record's report; return what others must be notified of."""
        crashed = tuple(
            one
            for one in report.crashed
            if self.evidence.record_crash(one[0], now - one[1])
        )
        answers = tuple(
            one for one in report.answers if self._merge_answer(one, now - one[2])
        )
        ends = tuple(one for one in report.ends if self._merge_end(one, now))
        held = tuple(one for one in report.held if self._merge_group(*one))
        return part_reports.Report(crashed, ends, answers, held)

    def _merge_answer(self, row: tuple, sent_at: float) -> bool:
        return self.record_answer(Key(*row[:2]), sent_at)

    def _merge_end(self, row: tuple, now: float) -> bool:
        context, part, incarnation, workspaces, sent_age, age = row
        presence = suspects.Presence(now - sent_age, now - age, frozenset(workspaces))
        return self.record_end(Key(context, part), incarnation, presence)

    def _merge_group(self, context: str, parts: tuple[str, ...]) -> bool:
        known = frozenset(
            key for part in parts if (key := Key(context, part)) in self._suspects
        )
        before = [group for key in known if (group := self._groups.get(key))]
        # Groups only shrink, so that processes that differ agree in the end.
        known = known.intersection(*before)
        if not known or known in before or not self._is_supported(known):
            return False
        if before:
            self._narrow(frozenset().union(*before), known)
        else:
            self._hold(known)
        return True

    def _is_supported(self, group: abc.Collection[Key]) -> bool:
        """Return whether what is known here agrees with a hold of another record.

        Times that several processes report are not exact: one crash less is enough.
        """
        return any(
            self._suspects[key].count_independent() >= HOLD_CRASHES - 1
            or self._is_held_elsewhere(key)
            for key in group
        )

    # Internals.

    def _hold(self, keys: abc.Iterable[Key]) -> None:
        group = frozenset(keys)
        for key in group:
            self._leave_group(key)
        for key in group:
            self._groups[key] = group
        incarnations = {one for key in group for one in self._suspects[key].presences}
        for incarnation in incarnations:
            self._attribute(incarnation, group)

    def _release(self, key: Key) -> None:
        """End the hold of a part; the rest of its group is held on without it."""
        self._leave_group(key)
        for incarnation, culprits in list(self._culprits.items()):
            if key in culprits:
                self._culprits[incarnation] = culprits - {key}
                if not culprits - {key}:
                    del self._culprits[incarnation]

    def _leave_group(self, key: Key) -> None:
        rest = self._groups.pop(key, frozenset()) - {key}
        for other in rest:
            self._groups[other] = rest

    def _review(self, key: Key) -> None:
        """Release a part, or forget it, once too few crashes are left under it."""
        suspect = self._suspects[key]
        if suspect.count_independent() < HOLD_CRASHES:
            self._release(key)
        if not suspect.presences:
            del self._suspects[key]

    def _attribute(self, incarnation: str, group: frozenset[Key]) -> None:
        """Take the parts of a group for the cause of a crash, and excuse all others."""
        self._culprits[incarnation] = group
        self._excuse(incarnation, group)

    def _excuse(self, incarnation: str, culprits: abc.Collection[Key]) -> None:
        """Remove a crash from all other parts."""
        others = [
            key
            for key, suspect in self._suspects.items()
            if key not in culprits and incarnation in suspect.presences
        ]
        for key in others:
            del self._suspects[key].presences[incarnation]
            self._review(key)


def list_best(against: abc.Mapping[Key, float]) -> frozenset[Key]:
    """Return the parts with the least evidence against them, within ``MARGIN``."""
    most = min(against.values()) + MARGIN
    return frozenset(key for key, evidence in against.items() if evidence <= most)


def encode_group(group: frozenset[Key]) -> tuple[str, tuple[str, ...]]:
    """Return the row of ``part_reports.Report.held`` of a group in one context."""
    context = next(iter(group)).context
    return context, tuple(sorted(key.part for key in group))
