/**
 * Timing and limits of the gossip protocol.
 */

/** Interval between two ticks. */
export const gossipPeriodMs = 1000;

export const gossipLimits = {
	pingTimeoutMs: 400,
	/** Includes the time for the helper's own ping. */
	indirectProbeTimeoutMs: 900,
	syncTimeoutMs: 2000,
	/** Members that are asked to ping a member that did not answer. */
	helpersPerProbe: 3,
	/** Minimum time that a member stays suspect before it is declared dead. */
	minSuspicionTimeoutMs: 4000,
	/** Suspicion timeout per factor of ten in the number of members of the data centre. */
	suspicionTimeoutPerDecadeMs: 4000,
	/**
	 * Maximum of the penalty, which grows while no member answers; the suspicion timeout is
	 * multiplied by 1 + penalty.
	 */
	maxLocalHealthPenalty: 4,
	deadRetentionMs: 600_000,
	/** Time after which the members of an unreachable data centre are removed. */
	unreachableRetentionMs: 3_600_000,
	pruneIntervalMs: 60_000,
	/** A longer gap between ticks means that this process was paused. */
	maxTickGapMs: 3000,
	deltasPerMessage: 4,
	membersPerSync: 64,
	/** Sends of one change, per doubling of the number of members. */
	sendsPerDoubling: 2,
	syncIntervalMs: 10_000,
	/** Syncs from all members of one data centre to other data centres in one sync interval. */
	remoteSyncsPerInterval: 8,
	maxRemoteSyncShare: 0.5,
	/** Share of the syncs to other data centres that go to another region. */
	otherRegionSyncShare: 0.25,
	/** Consecutive syncs while buckets still differ. */
	maxSyncRounds: 64,
	seedIntervalMs: 30_000,
	/**
	 * Seeds, not known as members, that are contacted in the first ticks after the seeds were read.
	 */
	initialSeedAttempts: 3,
	/**
	 * Pings per second from all members of one data centre to the other data centres of its region.
	 */
	localRegionPingsPerSecond: 4,
	/** Pings per second from all members of one data centre to other regions. */
	otherRegionPingsPerSecond: 2,
	/** Share of the ticks in which one dead member is pinged, to detect its return. */
	deadPingShare: 0.2,
	/** Members to which an urgent change is pushed at once. */
	urgentPushFanout: 3,
	/** Urgent pushes that a daemon may send per second; the allowance is reset at every tick. */
	urgentPushesPerSecond: 6,
	/** Members of the local data centre to which a leaving or stopping daemon pushes its record. */
	leavePushFanout: 40,
	/** Members of each remote data centre to which a leaving or stopping daemon pushes its record. */
	leavePushFanoutPerRemoteDataCentre: 2,
} as const;
