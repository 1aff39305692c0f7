/**
 * Periods and limits of the gossip.
 */

/** Time between two ticks. */
export const gossipPeriodMs = 1000;

export const gossipLimits = {
	pingTimeoutMs: 400,
	/** Covers a ping by the helper. */
	probeTimeoutMs: 900,
	syncTimeoutMs: 2000,
	/** Members that are asked to ping one that did not answer. */
	helpers: 3,
	/** Shortest time that a suspicion stands before the member is declared dead. */
	minSuspicionMs: 4000,
	/** Time that a suspicion stands, per factor of ten in the size of the data centre. */
	suspicionPerDecadeMs: 4000,
	/** Most that a daemon without answers multiplies its suspicion time by. */
	maxDoubt: 4,
	deadRetentionMs: 600_000,
	/** Time after which the members of a data centre that can't be reached are forgotten. */
	cutRetentionMs: 3_600_000,
	pruneIntervalMs: 60_000,
	/** A longer gap between ticks means that this process stood still. */
	maxTickGapMs: 3000,
	deltasPerMessage: 4,
	membersPerSync: 64,
	sendsPerDoubling: 2,
	syncIntervalMs: 10_000,
	/** Syncs of one data centre with others in one interval, together. */
	farSyncsPerRound: 8,
	maxFarSyncShare: 0.5,
	/** Share of the far syncs that go to another region. */
	otherRegionSyncShare: 0.25,
	/** Syncs in a row while buckets still differ. */
	maxSyncRounds: 64,
	seedIntervalMs: 30_000,
	/** Unknown seeds that are tried at the first ticks after the seeds were read. */
	promptSeedTries: 3,
	/** Pings a second from one data centre to the others of its region, together. */
	regionPingsPerSecond: 4,
	/** Pings a second from one data centre to the other regions, together. */
	otherRegionPingsPerSecond: 2,
	/** Share of the ticks at which one dead member is pinged. */
	deadPingShare: 0.2,
	/** Members that urgent news is pushed to at once. */
	urgentFanout: 3,
	/** Pushes of urgent news that a daemon may send a second. */
	urgentPushesPerSecond: 6,
	/** Members of the own data centre that a leaving daemon tells itself. */
	leaveFanout: 40,
	/** Members of each other data centre that a leaving daemon tells itself. */
	leaveFanoutElsewhere: 2,
} as const;
