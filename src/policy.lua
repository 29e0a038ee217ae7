-- The operators' own settings, with the values used when no file is given.
return {
  -- seconds that an empty ordinary machine is kept for work to come
  idle_s = 20,
  -- the same for a spot machine
  idle_spot_s = 30,
  -- seconds without a report after which a machine is given back, so that
  -- its work can move with proof
  silent_s = 9,
  -- how many times the usual boot time a machine may take
  boot_patience = 3.0,
  -- spare room kept for each task expected to arrive while a machine boots
  spare = 1.0,
}
