; The leader is killed, and again a while later.
(faults
  (fault (kind kill-controller) (controller leader) (at-s 33) (for-s 3))
  (fault (kind kill-controller) (controller leader) (at-s 44) (for-s 3)))
