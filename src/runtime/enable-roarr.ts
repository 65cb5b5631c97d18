// `roarr` reads this variable when it is loaded and stays silent without it, so this module
// must be imported first.
process.env['ROARR_LOG'] = 'true';
