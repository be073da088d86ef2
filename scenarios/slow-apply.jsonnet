// All replicas apply the log many times more slowly: they lag behind but answer as quickly as before.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=2, hosts=12, load=0.5, length=50, times=[4, 16]) {
  title: 'Slow log apply everywhere',
  about: |||
    All replicas apply the log many times more slowly: they fall behind while they answer as quickly as ever.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + {
    faults: [{ at_s: 10, for_s: [10, 21], slow_apply: { times: times } }],
  },
}
