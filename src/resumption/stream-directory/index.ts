/**
 * Tells which software version began a stream that its caller takes up.
 *
 * While the targets of a service had one version for as long as callers wait for streams, each of its streams has that
 * version. While there were several, single streams are recorded: by the instance that passed their first event, and by the
 * instances that hold records for the fleet. The object API keeps both, for the case that all instances end at once. What is
 * not certain is not guessed.
 */

import {Wakeup} from '../../clock/wakeup/index.js';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {StreamBeginning, StreamOrigins, TakenUpStream} from '../../forwarding/stream-origins/index.js';
import type {MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import {listRecordHolders} from '../choose-record-holders/index.js';
import {HistoryRecord, type HistoryRecordOptions} from '../history-record/index.js';
import {calculateWriteIntervalMs, HolderRecords, type HolderRecordsOptions} from '../holder-records/index.js';
import {SoftwareHistory} from '../software-history/index.js';
import {StreamExchange, type StreamExchangeOptions} from '../stream-exchange/index.js';
import {hashStream, type StreamIdentity, type StreamKey} from '../stream-key/index.js';
import {StreamRegister, type StreamFinding} from '../stream-register/index.js';

/** Interval at which expired records are forgotten, in milliseconds. */
const pruneIntervalMs = 1000;
/** Maximum wait of a call until this instance knows the versions of the time before its start, in milliseconds. */
const historyWaitMs = 500;
const historyCheckMs = 20;
/** Longest sleep while there is one version, in milliseconds; a second one ends it. */
const idleSleepMs = 60_000;

/** Options of `StreamDirectory`. */
export type StreamDirectoryOptions = StreamExchangeOptions & HistoryRecordOptions & HolderRecordsOptions;

/** How the version of a stream was found. */
type Origin = {readonly software: SoftwareVersion | undefined; readonly source: 'own' | 'held' | 'history' | 'holder' | 'store' | 'none'};

const unknownOrigin: Origin = {software: undefined, source: 'none'};

/** Streams of one instance, and those whose records it holds. */
export class StreamDirectory implements StreamOrigins {
	/** Gauges of the metrics. */
	readonly gauges = {
		stream_records: {help: 'Streams that this instance has begun and whose callers may still take them up.', read: () => this.own.size},
		stream_records_held: {help: 'Streams whose records this instance holds for the fleet.', read: () => this.exchange.held.size},
		streams_taken_up: {help: 'Streams that callers took up here since the start.', read: () => this.takenUp},
		streams_of_unknown_software: {help: 'Streams taken up since the start whose software version was not certain.', read: () => this.unknown},
	};

	private readonly own = new StreamRegister();
	private readonly history: SoftwareHistory;
	private readonly exchange: StreamExchange;
	private readonly historyRecord: HistoryRecord;
	private readonly holderRecords: HolderRecords;
	private hasSeveral = false;
	private readonly severalAppeared = new Wakeup();
	private takenUp = 0;
	private unknown = 0;

	constructor(private readonly options: StreamDirectoryOptions) {
		this.history = new SoftwareHistory(options.readLongestWaitMs);
		this.exchange = new StreamExchange(options);
		this.historyRecord = new HistoryRecord(options, this.history);
		this.holderRecords = new HolderRecords(options, this.exchange.held);
	}

	/** Takes over the list of targets. */
	observeTargets(targets: readonly TargetDescription[]): void {
		const now = this.options.clock.readMonotonic();
		this.history.observe(targets, now);
		this.updateSeveral(now);
		this.historyRecord.notify();
	}

	record(stream: StreamIdentity, {software, recording, expiresAt}: StreamBeginning): void {
		const now = this.options.clock.readMonotonic();
		const record = {
			key: hashStream(stream), software, recording, expiresAt,
		};
		this.own.add(record, now);
		if (this.history.list(stream.service, now).length > 1) {
			this.exchange.announce([record]);
		}
	}

	forget(stream: StreamIdentity): void {
		this.own.delete(hashStream(stream));
	}

	async find(stream: TakenUpStream): Promise<SoftwareVersion | undefined> {
		const {software, source} = await this.findOrigin(stream);
		this.takenUp += 1;
		this.unknown += software === undefined ? 1 : 0;
		this.options.logger.info('stream taken up', {
			id: stream.request, resumes: stream.firstRequest, software, source,
			versions: this.history.list(stream.service, this.options.clock.readMonotonic()).join(','),
		});
		return software;
	}

	/** Keeps the stored records up to date, and forgets expired ones, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.historyRecord.run(signal), this.keepStored(signal), this.prune(signal)]);
	}

	dump() {
		const now = this.options.clock.readMonotonic();
		return {
			versions: this.history.read(now), records: this.own.size, held: this.exchange.held.size, takenUp: this.takenUp, unknown: this.unknown,
		};
	}

	/** When a second version appears, the streams that are running are recorded elsewhere, too; when one is left, nobody needs records. */
	private updateSeveral(now: MonotonicMs): void {
		const hadSeveral = this.hasSeveral;
		this.hasSeveral = this.history.hasSeveral(now);
		if (this.hasSeveral === hadSeveral) {
			return;
		}

		this.options.logger.info('software versions changed', {hasSeveral: this.hasSeveral, versions: JSON.stringify(this.history.read(now))});
		if (this.hasSeveral) {
			this.exchange.announce(this.own.list(now));
			this.severalAppeared.notify();
		} else if (this.historyRecord.isWriter) {
			void this.holderRecords.removeAll();
		}
	}

	private async keepStored(signal: AbortSignal): Promise<void> {
		const {clock, listLive} = this.options;
		while (!signal.aborted) {
			if (this.hasSeveral) {
				await clock.sleep(calculateWriteIntervalMs(listRecordHolders(listLive()).length), signal);
				await this.holderRecords.write(clock.readMonotonic());
			} else {
				await this.severalAppeared.wait(clock, idleSleepMs, signal);
			}
		}
	}

	private async prune(signal: AbortSignal): Promise<void> {
		const {clock} = this.options;
		while (!signal.aborted) {
			await clock.sleep(pruneIntervalMs, signal);
			const now = clock.readMonotonic();
			this.own.prune(now);
			this.exchange.held.prune(now);
			this.updateSeveral(now);
		}
	}

	/** Waits until the versions of the time before the start are known; resolves to whether they are. */
	private async waitForHistory(): Promise<boolean> {
		const {clock} = this.options;
		const end = clock.readMonotonic() + historyWaitMs;
		while (!this.historyRecord.isComplete && clock.readMonotonic() < end) {
			await clock.sleep(historyCheckMs);
		}

		return this.historyRecord.isComplete;
	}

	private async findOrigin({firstRequest, ...stream}: TakenUpStream): Promise<Origin> {
		const key = firstRequest === undefined ? undefined : hashStream({...stream, firstRequest});
		const origin = key && this.findHere(key);
		if (origin !== undefined) {
			return origin;
		}

		const isComplete = await this.waitForHistory();
		if (isComplete && this.listVersions(stream).length === 1 && await this.historyRecord.confirm()) {
			const versions = this.listVersions(stream);
			if (versions.length === 1) {
				return {software: versions[0], source: 'history'};
			}
		}

		return key === undefined ? unknownOrigin : this.findElsewhere(key);
	}

	private listVersions({service}: Pick<TakenUpStream, 'service'>): readonly SoftwareVersion[] {
		return this.history.list(service, this.options.clock.readMonotonic());
	}

	/** Finds a stream in the records of this instance. */
	private findHere(key: StreamKey): Origin | undefined {
		const now = this.options.clock.readMonotonic();
		const findings: Array<[StreamFinding, Origin['source']]> = [[this.own.find(key, now), 'own'], [this.exchange.held.find(key, now), 'held']];
		const [finding, source] = findings.find(([found]) => found !== undefined) ?? [];
		if (finding === undefined || source === undefined) {
			return undefined;
		}

		return finding === 'conflicting' ? unknownOrigin : {software: finding, source};
	}

	/**
	 * Finds a stream in the records that the object API has, where one call serves all streams that are taken up after a kill,
	 * and then among those of other instances, which have the newest ones.
	 */
	private async findElsewhere(key: StreamKey): Promise<Origin> {
		const stored = await this.holderRecords.find(key);
		if (stored !== undefined) {
			return {software: stored, source: 'store'};
		}

		const held = await this.exchange.ask(key);
		return held === undefined ? unknownOrigin : {software: held, source: 'holder'};
	}
}
