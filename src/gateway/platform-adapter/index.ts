/** What the gateway needs from the adapter to a platform. */

import type {InstanceId, DataCentreId} from '../../identity/ids/index.js';
import type {ObjectApi, StoredObject} from '../../store/object-api/index.js';
import type {TargetProtocol} from '../../forwarding/call-types/index.js';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {EngineCommander} from '../../rollout/rollout-controller/index.js';
import type {RoutingConfiguration} from '../../routing/routing-types/index.js';
import type {Answer} from '../../http/listen-for-questions/index.js';
import type {CallerProtocol} from '../call-listener/index.js';

/** Newly named weights of a model. */
export type WeightsNotice = {readonly model: string; readonly version: number};

/** Names of the platform's collections. */
export type PlatformCollections = {
	readonly configuration: string;
	readonly targets: string;
	readonly weights: string;
	/** Own collection with one object for each instance. */
	readonly instances: string;
};

/** A caller's question for addresses. */
export type AddressQuestion = {readonly dataCentre: DataCentreId | undefined};

/** Translates everything that the platform says in its own way. */
export type PlatformAdapter = {
	readonly objectApi: ObjectApi;
	readonly collections: PlatformCollections;
	readonly callerProtocol: CallerProtocol;
	readonly targetProtocol: TargetProtocol;
	/** Path of the readiness question. */
	readonly readinessPath: string;
	/** Decodes an object of the configuration collection; throws when it is not valid. */
	decodeConfiguration(object: StoredObject): RoutingConfiguration;
	/** Decodes a target's entry; undefined when it is not valid and names no target to use. */
	decodeTarget(object: StoredObject): TargetDescription | undefined;
	/** Decodes named weights; undefined when they are not valid. */
	decodeWeights(object: StoredObject): WeightsNotice | undefined;
	createCommander(instance: InstanceId): EngineCommander;
	/** Reads a question for addresses; undefined when the URL is another one. */
	readAddressQuestion(url: URL): AddressQuestion | undefined;
	answerAddresses(addresses: readonly string[], validSeconds: number): Answer;
};
