; A burst of jobs that each wait for the same 1,100 live jobs, 45 a second for 15 s, at small heaps: no controller
; ends, and all accepted jobs stay known.
;   java -Xmx2g -jar target/fennelthread.jar emulate deploy/emulate-fan-in.sexp --duration 60
; The same with --faults deploy/faults/leader-killed.sexp or --faults deploy/faults/one-left.sexp.
(emulation
  (controllers 3)
  (controller-heap-mb 72)
  (zones north south)
  (workers 50)
  (worker-processes 2)
  (boot-s 1)
  (machine-type (name standard) (cpus 32) (mem-gb 128) (fetch-gb-per-s 1) (cache-gb 40))
  (timing (report-s 1.5) (lease-s 10) (cancel-s 30))
  (state (rps 500) (write-rps 300) (value-kb 16) (txn-ops 16) (latency-ms 3))
  (cloud (rps 6) (list-lag-s 2))
  (team (name research) (guarantee 0.3) (limit 1))
  (job-class (name long) (teams research) (share 55) (until-s 24) (tasks 1 1) (task-s 600 600)
             (images 1) (image-gb 0.1))
  (job-class (name joining) (teams research) (share 45) (from-s 26) (until-s 41) (waits-for long 1100)
             (tasks 1 1) (task-s 10 10) (images 1) (image-gb 0.1))
  (load (starts-per-s 100)))
