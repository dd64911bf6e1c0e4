; Two of three controllers are killed and stay down.
(faults
  (fault (kind kill-controller) (controller 0) (at-s 28) (for-s 120))
  (fault (kind kill-controller) (controller 1) (at-s 28.5) (for-s 120)))
