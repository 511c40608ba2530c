import {createRandom} from './budget/create-random/index.js';
import {SimulatedFleet} from './budget/simulated-fleet/index.js';
import {createLogger} from './logging/create-logger/index.js';
import {measureBudget} from './budget/measure-budget/index.js';
for (const seed of [1,2,3]) for (const share of [1, 7/8]) {
const random=createRandom(seed);
const make=(f:number)=>[200_000,100_000,50_000,20_000,10_000].map((r,i)=>({id:`organisation-${i}`,tokensPerSecond:r*f,burstTokens:2*r*f,weight:1})) as any;
const fleet=new SimulatedFleet({random,instances:1,organisations:make(share),logger:createLogger({},true)});
await fleet.clock.advance(20000);
const f=await measureBudget({fleet,random,organisations:make(1),durationMs:240000,measureLoad:()=>.8,chooseInstance:()=>0});
console.log(seed, share, f.reduce((s,x)=>s+x.offered,0), f.reduce((s,x)=>s+x.wrongful,0), f.map(x=>x.wrongful).join(','));
}
