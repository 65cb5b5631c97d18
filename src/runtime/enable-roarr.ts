// `roarr` reads this variable on import and logs nothing without it, so this module must be
// imported first.
process.env['ROARR_LOG'] = 'true';
