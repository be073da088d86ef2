// Hosts, often primaries, go silent together and return with reduced capacity and lagging; each client retries twice.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=2, hosts=12, load=0.55, length=60, share=0.18, at=[10, 12], silent=[10, 27], primaries=0.5, retries=2, honour=[0.46, 0.99], marked=true) {
  title: 'A retry storm',
  about: |||
    Hosts, often primaries, fall silent together and come back cold and behind, while every client tries again twice.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + deployment.storming + {
    clients+: { retries: retries, honour: honour, marked: marked },
    faults: [{
      at_s: at,
      for_s: silent,
      silent: { hosts: { share: share, primaries: primaries } },
    }],
  },
}
