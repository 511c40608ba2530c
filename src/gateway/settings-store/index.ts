/**
 * The settings in force. A changed file is checked as a whole: if it is valid, its settings take effect at once, except
 * for those that a running process cannot change; if it is not, the settings in force stay.
 *
 * Operators change files on many instances and need to know which instance holds which settings. A revision, derived
 * from the text of the file, identifies the settings in logs, dumps and heartbeats.
 */

import {createHash} from 'node:crypto';
import type {Clock} from '../../clock/clock/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {parseGatewaySettings, type GatewaySettings} from '../gateway-settings/index.js';

/** Interval at which the file is checked for a change without a signal, in milliseconds. */
const checkIntervalMs = 5000;
const revisionLength = 12;
/** Settings that take effect at the next start only. */
const startSettings = [
	'instance', 'dataCentre', 'region', 'listen', 'objectApi', 'seeds', 'capacity', 'memoryMb', 'descriptors', 'callers', 'softwareRollout',
] as const;

/** Options of the store. */
export type SettingsStoreOptions = {
	readonly file: string;
	/** Reads the text of the file. */
	readonly readText: () => string;
	readonly clock: Clock;
};

/** Loads the settings, and loads them again after changes. */
export class SettingsStore {
	/** Settings in force. Those that take effect at the next start keep their values. */
	current: GatewaySettings;
	/** Revision of the last valid text. */
	revision: string;
	private readonly listeners: Array<() => void> = [];
	private checkedText: string;
	private loadedAt: number;
	/** Settings whose new value takes effect at the next start. */
	private pendingSettings: readonly string[] = [];
	private refusal: string | undefined;

	/** Throws `settingsInvalid` with file, line and reason of each error. */
	constructor(private readonly options: SettingsStoreOptions) {
		this.checkedText = options.readText();
		this.current = parseGatewaySettings(this.checkedText, options.file);
		this.revision = formatRevision(this.checkedText);
		this.loadedAt = options.clock.readWall();
	}

	/** Calls `listener` after each change of the settings in force. */
	onChange(listener: () => void): void {
		this.listeners.push(listener);
	}

	/** Loads the file again if its text has changed. */
	reload(logger: EventLogger): void {
		try {
			const text = this.options.readText();
			if (text !== this.checkedText) {
				this.checkedText = text;
				this.apply(text, logger);
			}
		} catch (error) {
			this.refuse(error as Error, logger);
		}
	}

	/** Checks the file for changes until `signal` aborts. */
	async run(logger: EventLogger, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.options.clock.sleep(checkIntervalMs, signal);
			this.reload(logger);
		}
	}

	dump(): unknown {
		const {revision, loadedAt, pendingSettings, refusal} = this;
		return {
			file: this.options.file, revision, loadedAt: new Date(loadedAt).toISOString(), pendingSettings, refusal,
		};
	}

	private apply(text: string, logger: EventLogger): void {
		const settings = parseGatewaySettings(text, this.options.file);
		const started = this.current;
		const kept = Object.fromEntries(startSettings.map(name => [name, started[name]]));
		this.pendingSettings = startSettings.filter(name => JSON.stringify(settings[name]) !== JSON.stringify(started[name]));
		this.current = {...settings, ...kept};
		this.revision = formatRevision(text);
		this.loadedAt = this.options.clock.readWall();
		this.refusal = undefined;
		logger.info('settings applied', {revision: this.revision, nextStart: this.pendingSettings.join(',') || undefined});
		for (const listener of this.listeners) {
			listener();
		}
	}

	private refuse(error: Error, logger: EventLogger): void {
		if (this.refusal !== error.message) {
			this.refusal = error.message;
			logger.error('settings refused', {revision: this.revision, reason: error.message});
		}
	}
}

function formatRevision(text: string): string {
	return createHash('sha256').update(text).digest('hex').slice(0, revisionLength);
}
