// A shared dependency slows down all hosts: each host looks faulty although none is.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=2, hosts=12, load=0.5, length=40, times=[1.5, 2.6]) {
  title: 'A shared slowdown',
  about: |||
    Something that all hosts depend on makes every one of them slower: every host looks guilty, and none is.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + {
    faults: [{ at_s: 10, for_s: [6.2, 14], slowdown: { times: times } }],
  },
}
