; A burst of arrays of 100,000 tasks, 66 a second for 40 s, at small heaps: no controller ends, and all accepted jobs
; stay known.
;   java -Xmx2g -jar target/fennelthread.jar emulate deploy/emulate-arrays.sexp --duration 60
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
  (job-class (name scan) (teams research) (from-s 5) (until-s 45) (tasks 100000 100000) (task-s 60 60)
             (images 1) (image-gb 0.1))
  (load (starts-per-s 6600000)))
