//! Claim shards that this node owns, with the callers that wait for them.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use tokio::sync::oneshot;

use crate::{claim_record, claim_shard, error_body, ids, kv_store, refusal_reason, rendezvous};

/// Prefix of the owner keys.
pub const OWNER_PREFIX: &str = "claim/owner/";
/// Endings that wait for a new owner while no shard takes them.
const ORPHANS: usize = 10_000;
/// Records that may wait for a write in one shard; a claim beyond them is refused.
const QUEUED_RECORDS: usize = 4_096;

/// Answer to a claim.
#[derive(Debug)]
pub enum ClaimVerdict {
    /// The start is stored; the serving node sends the call once.
    Run,
    /// The call ran and was answered.
    Replay(claim_record::ClaimAnswer),
    /// Another request under the key has not ended; the wait tells when it has.
    InProgress(oneshot::Receiver<ClaimEnd>),
    /// The call may have run, and its answer will not come.
    UnknownOutcome,
    /// Key was used for a different request.
    Conflict,
    /// The claim is not granted; the call has not run under this request.
    Unavailable(ClaimUnavailable),
    /// Another node owns the shard.
    NotOwner(Option<ids::InstanceName>),
}

impl ClaimVerdict {
    /// Refusal for the caller, where the verdict is one.
    pub fn refusal(&self) -> Option<error_body::RequestRefusal> {
        use refusal_reason::RefusalReason;
        match self {
            Self::Run | Self::Replay(_) | Self::InProgress(_) | Self::NotOwner(_) => None,
            Self::UnknownOutcome => Some(error_body::RequestRefusal::may_have_run(
                RefusalReason::OutcomeUnknown,
                "an earlier call under this idempotency key may have run",
            )),
            Self::Conflict => Some(error_body::RequestRefusal::not_run(
                RefusalReason::IdempotencyConflict,
                "the idempotency key was used for a different request",
            )),
            Self::Unavailable(reason) => Some(error_body::RequestRefusal::not_run(
                RefusalReason::ClaimsUnavailable,
                reason.to_string(),
            )),
        }
    }
}

/// End of a call under a key that was in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The call was answered.
    Finished(claim_record::ClaimAnswer),
    /// The call did not run; the key can be claimed again.
    NotRun,
    /// The serving node died.
    OutcomeUnknown,
    /// The shard has another owner, which has to be asked.
    Moved,
}

/// Reason for which a claim is not granted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimUnavailable {
    /// The start could not be stored.
    #[error("start of the call could not be stored: {0}")]
    Store(#[from] kv_store::KvError),
    /// The shard is being taken over.
    #[error("claim shard is being taken over")]
    Loading,
    /// Too many records wait for a write.
    #[error("too many claims wait for a write")]
    QueueFull,
    /// The request was abandoned before and needs a new request id.
    #[error("request was abandoned before")]
    Abandoned,
}

/// Error of ending a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimEndError {
    /// Another node owns the shard and has to be told.
    #[error("another node owns the claim shard")]
    NotOwner(Option<ids::InstanceName>),
    /// The shard is being taken over; the call can be ended later.
    #[error("claim shard is being taken over")]
    Loading,
    /// The request does not hold the key.
    #[error("request does not hold the claim")]
    NotHeld,
}

/// Answer of a call that its shard's former owner could not store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimOrphan {
    /// Key.
    pub key: claim_record::ClaimKey,
    /// Request that held the key.
    pub request: ids::RequestId,
    /// Answer.
    pub answer: claim_record::ClaimAnswer,
}

type StartWaiters =
    HashMap<(claim_record::ClaimKey, ids::RequestId), Vec<oneshot::Sender<ClaimVerdict>>>;

/// Shard that this node owns.
#[derive(Debug, Default)]
pub struct OwnedShard {
    /// Create revision of the owner key; every write compares it.
    pub fence: ids::KvRevision,
    /// Claims, once they are loaded.
    pub claims: Option<claim_shard::ClaimShard>,
    /// Whether the shard is being handed over and takes no new claims.
    pub leaving: bool,
    starts: StartWaiters,
    ends: HashMap<claim_record::ClaimKey, Vec<oneshot::Sender<ClaimEnd>>>,
}

/// Shards of this node.
#[derive(Debug)]
pub struct ClaimTable {
    /// This process.
    pub instance: ids::InstanceName,
    /// Live processes.
    pub members: BTreeSet<ids::InstanceName>,
    /// Live processes that own no shard any more because they leave.
    leaving: BTreeSet<ids::InstanceName>,
    /// Owned shards.
    pub shards: BTreeMap<ids::ShardNumber, OwnedShard>,
    orphans: Vec<ClaimOrphan>,
    transactions: u64,
    /// Home of each shard, kept until the members change. Ranking 1,300 members for 64 shards
    /// on each tick was an eighth of the instructions of an idle node.
    homes: OnceCell<Vec<Option<ids::InstanceName>>>,
}

impl ClaimTable {
    /// Table without shards.
    pub fn new(instance: ids::InstanceName) -> Self {
        Self {
            instance,
            members: BTreeSet::new(),
            leaving: BTreeSet::new(),
            shards: BTreeMap::new(),
            orphans: Vec::new(),
            transactions: 0,
            homes: OnceCell::new(),
        }
    }

    /// Number for a new transaction, by which the writes in it are recognised.
    pub fn next_transaction(&mut self) -> u64 {
        self.transactions += 1;
        self.transactions
    }

    /// Process that should own a shard; a leaving one only when no other is left.
    pub fn home(&self, shard: ids::ShardNumber) -> Option<ids::InstanceName> {
        let homes =
            self.homes.get_or_init(|| (0..claim_record::SHARDS).map(|n| self.rank(n)).collect());
        homes.get(usize::from(shard)).cloned().flatten()
    }

    fn rank(&self, shard: ids::ShardNumber) -> Option<ids::InstanceName> {
        let key = owner_key(shard);
        let staying = rendezvous::highest_ranked(&key, self.members.difference(&self.leaving));
        staying.or_else(|| rendezvous::highest_ranked(&key, &self.members)).cloned()
    }

    /// Whether this process should own a shard but does not yet.
    pub fn awaits(&self, shard: ids::ShardNumber) -> bool {
        !self.shards.contains_key(&shard) && self.home(shard).as_ref() == Some(&self.instance)
    }

    /// Replaces the live processes that leave.
    pub fn set_leaving(&mut self, leaving: BTreeSet<ids::InstanceName>) {
        self.leaving = leaving;
        self.homes.take();
    }

    /// Replaces the live processes, and ends waits for calls whose process is gone.
    pub fn set_members(&mut self, members: BTreeSet<ids::InstanceName>, now_ms: u64) {
        self.members = members;
        self.homes.take();
        let members = &self.members;
        for owned in self.shards.values_mut() {
            let Some(claims) = &owned.claims else { continue };
            let is_live = |name: &str| members.contains(name);
            let lost: Vec<_> = owned.ends.keys().copied().collect();
            for key in lost.into_iter().filter(|key| !claims.may_still_run(key, is_live, now_ms)) {
                notify(owned.ends.remove(&key), &ClaimEnd::OutcomeUnknown);
            }
        }
    }

    /// Starts or answers a claim. The receiver gets the verdict once the start is stored.
    pub fn claim(
        &mut self,
        request: &claim_record::ClaimRequest,
        now_ms: u64,
    ) -> Result<oneshot::Receiver<ClaimVerdict>, ClaimVerdict> {
        let number = claim_record::shard_of(&request.key);
        let elsewhere = self.not_owned(number);
        let members = &self.members;
        let owned = self.shards.get_mut(&number).filter(|owned| !owned.leaving);
        let Some(owned) = owned else { return Err(elsewhere) };
        let Some(claims) = &mut owned.claims else {
            return Err(ClaimVerdict::Unavailable(ClaimUnavailable::Loading));
        };
        match claims.find(request, |name| members.contains(name), now_ms) {
            claim_shard::ClaimFinding::Free => {
                if claims.log.queued() >= QUEUED_RECORDS {
                    return Err(ClaimVerdict::Unavailable(ClaimUnavailable::QueueFull));
                }
                claims.start(request, now_ms);
            }
            claim_shard::ClaimFinding::OwnStart => {}
            claim_shard::ClaimFinding::OwnRun => return Err(ClaimVerdict::Run),
            claim_shard::ClaimFinding::OwnAbandoned => {
                return Err(ClaimVerdict::Unavailable(ClaimUnavailable::Abandoned));
            }
            claim_shard::ClaimFinding::InProgress => {
                let (sender, receiver) = oneshot::channel();
                owned.ends.entry(request.key).or_default().push(sender);
                return Err(ClaimVerdict::InProgress(receiver));
            }
            claim_shard::ClaimFinding::Finished(answer) => {
                return Err(ClaimVerdict::Replay(answer));
            }
            claim_shard::ClaimFinding::OutcomeUnknown => return Err(ClaimVerdict::UnknownOutcome),
            claim_shard::ClaimFinding::Conflict => return Err(ClaimVerdict::Conflict),
        }
        let (sender, receiver) = oneshot::channel();
        owned.starts.entry((request.key, request.request)).or_default().push(sender);
        Ok(receiver)
    }

    /// Verdict for a shard that this node does not own, or not yet.
    fn not_owned(&self, number: ids::ShardNumber) -> ClaimVerdict {
        match self.home(number) {
            Some(home) if home == self.instance => {
                ClaimVerdict::Unavailable(ClaimUnavailable::Loading)
            }
            home => ClaimVerdict::NotOwner(home),
        }
    }

    /// Ends a call with its answer, or without one when it was never sent.
    pub fn end(
        &mut self,
        key: &claim_record::ClaimKey,
        request: ids::RequestId,
        answer: Option<claim_record::ClaimAnswer>,
        now_ms: u64,
    ) -> Result<(), ClaimEndError> {
        let number = claim_record::shard_of(key);
        let home = self.home(number);
        let owned = self.shards.get_mut(&number);
        let owned = owned.ok_or(ClaimEndError::NotOwner(home))?;
        let claims = owned.claims.as_mut().ok_or(ClaimEndError::Loading)?;
        if !claims.end(key, request, answer.clone(), now_ms) {
            return Err(ClaimEndError::NotHeld);
        }
        let end = answer.map_or(ClaimEnd::NotRun, ClaimEnd::Finished);
        notify(owned.ends.remove(key), &end);
        Ok(())
    }

    /// Installs the loaded claims of a shard, with the ends that a former owner here kept.
    pub fn install(
        &mut self,
        number: ids::ShardNumber,
        claims: claim_shard::ClaimShard,
        now_ms: u64,
    ) {
        let Some(owned) = self.shards.get_mut(&number) else { return };
        owned.claims = Some(claims);
        let all = std::mem::take(&mut self.orphans);
        let (own, rest) =
            all.into_iter().partition(|orphan| claim_record::shard_of(&orphan.key) == number);
        self.orphans = rest;
        let own: Vec<ClaimOrphan> = own;
        for orphan in own {
            // A claim that is not held any more has been ended by its serving node meanwhile.
            let _ = self.end(&orphan.key, orphan.request, Some(orphan.answer), now_ms);
        }
    }

    /// Ends that wait for a new owner elsewhere.
    pub fn take_orphans(&mut self) -> Vec<ClaimOrphan> {
        std::mem::take(&mut self.orphans)
    }

    /// Gives a shard up. Ends that are not stored are kept as orphans.
    pub fn give_up(&mut self, number: ids::ShardNumber) {
        let Some(owned) = self.shards.remove(&number) else { return };
        for sender in owned.starts.into_values().flatten() {
            let _ = sender.send(self.not_owned(number));
        }
        for senders in owned.ends.into_values() {
            notify(Some(senders), &ClaimEnd::Moved);
        }
        let records = owned.claims.iter().flat_map(|claims| claims.log.unwritten_records());
        for record in records {
            // Only answers are final. A request that was abandoned here because its claimant
            // was gone may have claimed its key again from the new owner, and may run there.
            if let claim_record::ClaimEvent::Finished(answer) = &record.event {
                let (key, request, answer) = (record.key, record.request, answer.clone());
                self.orphans.push(ClaimOrphan { key, request, answer });
            }
        }
        let excess = self.orphans.len().saturating_sub(ORPHANS);
        self.orphans.drain(..excess);
    }

    /// Gives up all shards.
    pub fn give_up_all(&mut self) {
        for number in self.shards.keys().copied().collect::<Vec<_>>() {
            self.give_up(number);
        }
    }

    /// Owned shard under the fence with which a write began.
    pub fn fenced(
        &mut self,
        number: ids::ShardNumber,
        fence: ids::KvRevision,
    ) -> Option<&mut OwnedShard> {
        self.shards.get_mut(&number).filter(|owned| owned.fence == fence)
    }

    /// Refuses all claims whose start is not stored.
    pub fn refuse_starts(&mut self, error: &kv_store::KvError, now_ms: u64) {
        for owned in self.shards.values_mut() {
            let Some(claims) = &mut owned.claims else { continue };
            for key in claims.starting() {
                claims.withdraw(&key, now_ms);
                notify(owned.ends.remove(&key), &ClaimEnd::NotRun);
            }
            for sender in owned.starts.drain().flat_map(|(_, senders)| senders) {
                let reason = ClaimUnavailable::Store(error.clone());
                let _ = sender.send(ClaimVerdict::Unavailable(reason));
            }
        }
    }

    /// Whether no record waits.
    pub fn is_idle(&self) -> bool {
        let claims = self.shards.values().filter_map(|owned| owned.claims.as_ref());
        claims.into_iter().all(|claims| claims.log.is_idle())
    }
}

impl OwnedShard {
    /// Shard that is owned under a fence and not loaded yet.
    pub fn new(fence: ids::KvRevision) -> Self {
        Self { fence, ..Self::default() }
    }

    /// Records that the outstanding write took effect, and lets its calls run. A claimant that
    /// is gone will not send its call, so its claim is taken back.
    pub fn written(&mut self, mod_revision: ids::KvRevision, now_ms: u64) {
        let Some(claims) = &mut self.claims else { return };
        for (key, request) in claims.written(mod_revision) {
            let senders = self.starts.remove(&(key, request)).unwrap_or_default();
            let sent = senders.into_iter().filter_map(|sender| sender.send(ClaimVerdict::Run).ok());
            if sent.count() == 0 && claims.end(&key, request, None, now_ms) {
                notify(self.ends.remove(&key), &ClaimEnd::NotRun);
            }
        }
    }
}

fn notify(senders: Option<Vec<oneshot::Sender<ClaimEnd>>>, end: &ClaimEnd) {
    for sender in senders.into_iter().flatten() {
        let _ = sender.send(end.clone());
    }
}

/// Key of a shard's owner.
pub fn owner_key(shard: ids::ShardNumber) -> String {
    format!("{OWNER_PREFIX}{shard:02}")
}
